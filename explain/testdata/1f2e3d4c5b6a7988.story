14:19:39.888 edge-1   (this router starts)
14:19:40.100 edge-1 attempt 1 failed at i-1 after 1300.5 ms: stream-broken (may have run), 3 events passed, 10 tokens unread there; ended by the router, since the upstream was silent for 905 of 900 ms (scheduling latency 67 ms); the upstream was silent for too long
14:19:40.200 edge-1 attempt 2 failed at i-2 after 1400.5 ms: broken-before-answer (may have run), 3 events passed, 0 tokens unread there; ended by the upstream; unexpected EOF
14:19:40.300 edge-1 attempt 3 failed at i-2 after 2400.5 ms: stream-broken (may have run), 5 events passed, 0 tokens unread there; ended by the router: deadline (scheduling latency 0 ms); the caller's or the route's time is over
14:19:40.400 edge-1 a fault of the router ended it: runtime error: integer divide by zero; the log line has the stack
