11:28:40.000 edge-kuopio-dc-2   (upstream i-6e8f5430f3 (software v1.2) is ready, from store)
11:28:40.640 edge-kuopio-dc-2 attempt 1 failed at i-6e8f5430f3 after 2536.1 ms: stream-broken (may have run), 31 events passed, 1460 tokens unread there; ended by the upstream; unexpected EOF; software v1.2
11:28:40.800 edge-mikkeli-dc-1 answered late by i-7eef2c353d: first byte after 790.0 ms, of which 0.4 in the queue, end after 1786.0 ms; 1 sent, 0 tokens unread there; request 1b2c3d4e5f60718a takes up stream 454dd15f0d54c1ca after event 31; software v1
