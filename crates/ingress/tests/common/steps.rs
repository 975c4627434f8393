//! Steps and checks that several tests share.

use super::connection::Connection;
use super::harness::Harness;
use super::messages::{read_request, served_reply};
use super::peer::Peer;

/// Sends a client's request, lets the endpoint serve it, and checks the client's reply.
pub(crate) fn serve_request(harness: &mut Harness, client: &mut Connection, command: Vec<u8>) {
    client.send(command);
    let (endpoint, connection, _) = harness.next_request();
    harness.endpoints[endpoint].connections[connection].send(served_reply("v"));
    harness.expect_reply(client, "$1\r\nv\r\n");
}

/// Disconnects the only client, and waits until the ingress has noticed.
pub(crate) fn disconnect_client(harness: &mut Harness, client: Connection) {
    drop(client);
    harness.run_until("the client is disconnected", |h| {
        h.program.open().clients == 0
    });
}

/// Whether the counter has received a call and not replied.
pub(crate) fn has_unanswered_call(harness: &Harness) -> bool {
    harness
        .counter
        .peer
        .connections
        .iter()
        .any(|c| !c.input.is_empty())
}

/// Checks that no endpoint receives a command in the next half second.
pub(crate) fn assert_nothing_forwarded(harness: &mut Harness, what: &str) {
    for _ in 0..10 {
        harness.advance(50);
        for _ in 0..3 {
            harness.run_iteration();
        }
        let command = harness.endpoints.iter_mut().find_map(Peer::next_command);
        assert_eq!(
            command, None,
            "{what}: forwarded for a client that has disconnected"
        );
    }
}

/// Serves a request that another client sends for the default customer, and checks the customer's
/// total, which includes that request.
pub(crate) fn assert_total_after_next_request(harness: &mut Harness, total: f64, what: &str) {
    let mut other = harness.connect();
    serve_request(harness, &mut other, read_request(2));
    assert_eq!(harness.counter.totals["00000000b4d65521"], total, "{what}");
}
