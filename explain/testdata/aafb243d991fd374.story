18:13:27.920 edge-mikkeli-dc-1 answered late by i-598915c2a6: first byte after 832.4 ms, of which 441.9 in the queue, end after 868.6 ms; 1 sent, 13965 tokens unread there
