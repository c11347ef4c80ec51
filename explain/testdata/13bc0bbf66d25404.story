18:13:39.888 edge-kuopio-dc-3   (router edge-joensuu-dc-2 connected: false)
18:13:39.903 edge-kuopio-dc-3   (upstream i-94f0bc0f93 taken out, its requests fail)
18:13:39.904 edge-kuopio-dc-3 attempt 1 failed at i-dada0b9524 after 2714.2 ms: stream-broken (may have run), 15 events passed, 13102 tokens unread there; upstream 10.3.64.41:8101 (sent true, answered true): unexpected EOF
18:13:39.904 edge-kuopio-dc-3 refused: upstream-failed (outcome-unknown) after 2714.2 ms, of which 103.5 in the queue; 1 sent, 1 may have run, 15 events passed; route r-p9d87qa, account nyde362, configuration 17; the upstream gave no whole answer: upstream 10.3.64.41:8101 (sent true, answered true): unexpected EOF
