//! Steps that many tests share.

use super::connection::Connection;
use super::harness::Harness;
use super::messages::{read_request, served_reply};
use super::peer::Peer;

/// Serves one request of this client.
pub(crate) fn serve_request(harness: &mut Harness, client: &mut Connection, command: Vec<u8>) {
    client.send(command);
    let (s, c, _) = harness.next_request();
    harness.endpoints[s].connections[c].send(served_reply("v"));
    harness.expect_reply(client, "$1\r\nv\r\n");
}

/// The only client disconnects, and the ingress has seen it.
pub(crate) fn disconnect_client(harness: &mut Harness, client: Connection) {
    drop(client);
    harness.run_until("the client is disconnected", |s| {
        s.program.open().clients == 0
    });
}

/// Has the counter received a call without replying?
pub(crate) fn has_unanswered_call(harness: &Harness) -> bool {
    harness
        .counter
        .peer
        .connections
        .iter()
        .any(|e| !e.input.is_empty())
}

/// Checks that no endpoint receives anything for the next half second.
pub(crate) fn assert_nothing_forwarded(harness: &mut Harness, what: &str) {
    for _ in 0..10 {
        harness.advance(50);
        for _ in 0..3 {
            harness.run_round();
        }
        let sent = harness.endpoints.iter_mut().find_map(Peer::next_command);
        assert_eq!(
            sent, None,
            "{what}: forwarded for a client that has disconnected"
        );
    }
}

/// Another client's request of the same customer is served, and the customer's total is this with
/// it.
pub(crate) fn assert_total_after_next_request(harness: &mut Harness, total: f64, what: &str) {
    let mut other = harness.connect();
    serve_request(harness, &mut other, read_request(2));
    assert_eq!(harness.counter.totals["00000000b4d65521"], total, "{what}");
}
