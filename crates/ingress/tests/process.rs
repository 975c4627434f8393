//! The program itself: started, spoken to, and ended by SIGTERM.

mod common;

use common::ingress_process::{next_line_containing, serve_fixed_reply, IngressProcess};
use common::*;
use rustix::process::Signal;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::process::Command;

#[test]
fn the_program_serves_a_request_and_ends_well_on_sigterm() {
    let (endpoint, counter, discovery) = (Peer::new(), Peer::new(), Peer::new());
    let text = config(&counter, &discovery, std::slice::from_ref(&endpoint), 1024);
    serve_fixed_reply(
        endpoint.blocking_listener(),
        b"first=0\r\n",
        "*3\r\n$2\r\nhi\r\n$-1\r\n$-1\r\n",
    );
    serve_fixed_reply(
        counter.blocking_listener(),
        b"\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1",
    );
    serve_fixed_reply(
        discovery.blocking_listener(),
        b"\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n",
    );
    let mut running = IngressProcess::start("serves", &text);
    next_line_containing(&mut running.log, "info: ready");
    let mut client = running.connect();
    client.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
    let mut pong = [0; 7];
    client.read_exact(&mut pong).unwrap();
    assert_eq!(&pong, b"+PONG\r\n");
    client.write_all(&read_request(1)).unwrap();
    let mut value = [0; 8];
    client.read_exact(&mut value).unwrap();
    assert_eq!(&value, b"$2\r\nhi\r\n");
    let status = running.terminate();
    assert_eq!(status.code(), Some(0));
    let mut rest = Vec::new();
    client.read_to_end(&mut rest).unwrap();
    assert!(
        rest.is_empty(),
        "the idle connection was ended, not answered"
    );
    next_line_containing(&mut running.log, "shutdown completed open_requests=0");
}

#[test]
fn rejected_requests_are_logged_by_their_reason() {
    let (counter, discovery) = (Peer::new(), Peer::new());
    serve_fixed_reply(
        discovery.blocking_listener(),
        b"\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n",
    );
    let text = config(&counter, &discovery, &[], 1024);
    let mut running = IngressProcess::start("rejections", &text);
    next_line_containing(&mut running.log, "info: ready");
    let mut client = running.connect();
    for id in 1..=2 {
        client.write_all(&read_request(id)).unwrap();
        let mut reply = [0; 5];
        client.read_exact(&mut reply).unwrap();
        assert_eq!(&reply, b"-BUSY", "there is no endpoint");
        while client.read_exact(&mut reply[..1]).is_ok() && reply[0] != b'\n' {}
    }
    assert_eq!(running.terminate().code(), Some(0));
    let line = next_line_containing(&mut running.log, "info: requests rejected");
    assert!(line.contains(" no_endpoint=2 "), "{line}");
    assert!(line.contains(" over_quota=0 "), "{line}");
    assert!(line.contains(" overloaded=0 "), "{line}");
}

#[test]
fn sighup_rereads_the_file_over_the_start_s_discovery_and_a_bad_file_changes_nothing() {
    let (counter, discovery) = (Peer::new(), Peer::new());
    let text = config(&counter, &discovery, &[], 1024);
    let mut command = Command::new(env!("CARGO_BIN_EXE_roseyard-ingress"));
    command.env("LB_DISCOVERY", discovery.address.to_string());
    let mut running = IngressProcess::start_command("reload", &text, command);
    let half = &text[..text.len() / 2];
    std::fs::write(&running.config, half).unwrap();
    running.signal(Signal::HUP);
    next_line_containing(&mut running.log, "warn: configuration rejected");
    let moved = Peer::new();
    std::fs::write(&running.config, config(&counter, &moved, &[], 1024)).unwrap();
    for _ in 0..2 {
        running.signal(Signal::HUP);
        next_line_containing(
            &mut running.log,
            &format!("info: configuration reloaded discovery={}", moved.address),
        );
    }
    moved.blocking_listener().accept().unwrap();
    running.signal(Signal::HUP);
    assert_eq!(
        running.terminate().code(),
        Some(0),
        "a reload beside the end does no harm"
    );
}

#[test]
fn sighup_puts_services_in_force_and_a_mistake_in_them_is_named_and_keeps_the_old_ones() {
    let (counter, discovery) = (Peer::new(), Peer::new());
    let settings =
        std::env::temp_dir().join(format!("roseyard-{}-services.kdl", std::process::id()));
    let services =
        "services { route-field \"route\"; service \"x\" { servers \"s-1\" }; route \"a\" service=\"x\" }";
    std::fs::write(&settings, services).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_roseyard-ingress"));
    command
        .env_remove("LB_DISCOVERY")
        .env("ROSEYARD_SETTINGS", &settings);
    let text = config(&counter, &discovery, &[], 1024);
    let mut running = IngressProcess::start_command("services", &text, command);
    std::fs::write(
        &settings,
        services.replace("service=\"x\"", "service=\"y\""),
    )
    .unwrap();
    running.signal(Signal::HUP);
    let line = next_line_containing(&mut running.log, "warn: configuration rejected");
    assert!(
        line.contains(".kdl:1:74: there is no service 'y'; expected one of: x"),
        "{line}"
    );
    std::fs::write(&settings, services.replace("route \"a\"", "route \"b\"")).unwrap();
    running.signal(Signal::HUP);
    next_line_containing(
        &mut running.log,
        "info: services changed services=1 routes=1 changes=2",
    );
    assert_eq!(running.terminate().code(), Some(0));
    std::fs::remove_file(&settings).unwrap();
}

#[test]
fn without_descriptors_left_connections_between_requests_make_room() {
    let (counter, discovery) = (Peer::new(), Peer::new());
    // The configuration promises more than the system gives.
    let text = config(&counter, &discovery, &[], 1024);
    let mut shell = Command::new("/bin/sh");
    shell.env_remove("LB_DISCOVERY").args([
        "-c",
        "ulimit -n 32; exec \"$0\"",
        env!("CARGO_BIN_EXE_roseyard-ingress"),
    ]);
    let mut running = IngressProcess::start_command("descriptors", &text, shell);
    next_line_containing(&mut running.log, "info: ready");
    let mut clients = Vec::new();
    for _ in 0..50 {
        let mut client = running.connect();
        client.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
        let mut pong = [0; 7];
        client.read_exact(&mut pong).unwrap();
        assert_eq!(&pong, b"+PONG\r\n");
        clients.push(client);
    }
    drop(clients);
    assert_eq!(running.terminate().code(), Some(0));
}

#[test]
fn a_start_beside_a_process_that_still_listens_waits_for_its_address() {
    let (counter, discovery) = (Peer::new(), Peer::new());
    let before = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = before.local_addr().unwrap();
    let text = config(&counter, &discovery, &[], 1024);
    let text = text.replace(
        "\"listen\":\"127.0.0.1:0\"",
        &format!("\"listen\":\"{address}\""),
    );
    let mut before = Some(before);
    let mut command = Command::new(env!("CARGO_BIN_EXE_roseyard-ingress"));
    command.env_remove("LB_DISCOVERY");
    let mut running = IngressProcess::start_after_reading_log("address", &text, command, |log| {
        next_line_containing(log, "address in use, retrying address=");
        before = None;
    });
    assert_eq!(running.address, address);
    assert_eq!(running.terminate().code(), Some(0));
}

#[test]
fn what_is_wrong_with_a_configuration_is_said() {
    for (name, text) in [("empty", "{}"), ("no-json", "listen here")] {
        let config =
            std::env::temp_dir().join(format!("roseyard-{}-{name}.json", std::process::id()));
        std::fs::write(&config, text).unwrap();
        let out = Command::new(env!("CARGO_BIN_EXE_roseyard-ingress"))
            .env("LB_CONFIG", &config)
            .output()
            .unwrap();
        std::fs::remove_file(&config).unwrap();
        assert_eq!(out.status.code(), Some(1));
        let said = String::from_utf8(out.stderr).unwrap();
        assert!(
            said.starts_with("roseyard: error: ") && said.contains(name),
            "{said}"
        );
    }
}
