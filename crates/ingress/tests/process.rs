//! The program as a process: its start, its requests, reloads on SIGHUP and its exit on SIGTERM.

mod common;

use common::ingress_process::{next_line_containing, serve_fixed_reply, IngressProcess};
use common::*;
use rustix::process::Signal;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::process::Command;

#[test]
fn the_program_serves_a_request_and_exits_with_success_on_sigterm() {
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
    let mut ingress = IngressProcess::start("serves", &text);
    next_line_containing(&mut ingress.log, "info: ready");
    let mut client = ingress.connect();
    client.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
    let mut pong = [0; 7];
    client.read_exact(&mut pong).unwrap();
    assert_eq!(&pong, b"+PONG\r\n");
    client.write_all(&read_request(1)).unwrap();
    let mut value = [0; 8];
    client.read_exact(&mut value).unwrap();
    assert_eq!(&value, b"$2\r\nhi\r\n");
    let status = ingress.terminate();
    assert_eq!(status.code(), Some(0));
    let mut rest = Vec::new();
    client.read_to_end(&mut rest).unwrap();
    assert!(
        rest.is_empty(),
        "the idle connection is closed without another reply"
    );
    next_line_containing(&mut ingress.log, "shutdown completed open_requests=0");
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
    let mut ingress = IngressProcess::start("rejections", &text);
    next_line_containing(&mut ingress.log, "info: ready");
    let mut client = ingress.connect();
    for id in 1..=2 {
        client.write_all(&read_request(id)).unwrap();
        let mut reply = [0; 5];
        client.read_exact(&mut reply).unwrap();
        assert_eq!(&reply, b"-BUSY", "rejected, as there is no endpoint");
        while client.read_exact(&mut reply[..1]).is_ok() && reply[0] != b'\n' {}
    }
    assert_eq!(ingress.terminate().code(), Some(0));
    let line = next_line_containing(&mut ingress.log, "info: requests rejected");
    assert!(line.contains(" no_endpoint=2 "), "{line}");
    assert!(line.contains(" over_quota=0 "), "{line}");
    assert!(line.contains(" overloaded=0 "), "{line}");
}

#[test]
fn sighup_replaces_the_discovery_of_the_environment_and_an_invalid_file_changes_nothing() {
    let (counter, discovery) = (Peer::new(), Peer::new());
    let text = config(&counter, &discovery, &[], 1024);
    let mut command = Command::new(env!("CARGO_BIN_EXE_roseyard-ingress"));
    command.env("LB_DISCOVERY", discovery.address.to_string());
    let mut ingress = IngressProcess::start_command("reload", &text, command);
    let truncated = &text[..text.len() / 2];
    std::fs::write(&ingress.config, truncated).unwrap();
    ingress.signal(Signal::HUP);
    next_line_containing(&mut ingress.log, "warn: configuration rejected");
    let new_discovery = Peer::new();
    std::fs::write(&ingress.config, config(&counter, &new_discovery, &[], 1024)).unwrap();
    for _ in 0..2 {
        ingress.signal(Signal::HUP);
        next_line_containing(
            &mut ingress.log,
            &format!(
                "info: configuration reloaded discovery={}",
                new_discovery.address
            ),
        );
    }
    new_discovery.blocking_listener().accept().unwrap();
    ingress.signal(Signal::HUP);
    assert_eq!(
        ingress.terminate().code(),
        Some(0),
        "a reload during shutdown does not affect the exit status"
    );
}

#[test]
fn sighup_applies_services_and_an_error_in_them_is_logged_and_keeps_the_old_ones() {
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
    let mut ingress = IngressProcess::start_command("services", &text, command);
    std::fs::write(
        &settings,
        services.replace("service=\"x\"", "service=\"y\""),
    )
    .unwrap();
    ingress.signal(Signal::HUP);
    let line = next_line_containing(&mut ingress.log, "warn: configuration rejected");
    assert!(
        line.contains(".kdl:1:74: there is no service 'y'; expected one of: x"),
        "{line}"
    );
    std::fs::write(&settings, services.replace("route \"a\"", "route \"b\"")).unwrap();
    ingress.signal(Signal::HUP);
    next_line_containing(
        &mut ingress.log,
        "info: services changed services=1 routes=1 changes=2",
    );
    assert_eq!(ingress.terminate().code(), Some(0));
    std::fs::remove_file(&settings).unwrap();
}

#[test]
fn without_free_descriptors_idle_connections_are_closed_for_new_ones() {
    let (counter, discovery) = (Peer::new(), Peer::new());
    // The configuration allows 1024 descriptors, but the system only 32.
    let text = config(&counter, &discovery, &[], 1024);
    let mut shell = Command::new("/bin/sh");
    shell.env_remove("LB_DISCOVERY").args([
        "-c",
        "ulimit -n 32; exec \"$0\"",
        env!("CARGO_BIN_EXE_roseyard-ingress"),
    ]);
    let mut ingress = IngressProcess::start_command("descriptors", &text, shell);
    next_line_containing(&mut ingress.log, "info: ready");
    let mut clients = Vec::new();
    for _ in 0..50 {
        let mut client = ingress.connect();
        client.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
        let mut pong = [0; 7];
        client.read_exact(&mut pong).unwrap();
        assert_eq!(&pong, b"+PONG\r\n");
        clients.push(client);
    }
    drop(clients);
    assert_eq!(ingress.terminate().code(), Some(0));
}

#[test]
fn a_process_waits_for_its_address_while_another_one_still_listens_there() {
    let (counter, discovery) = (Peer::new(), Peer::new());
    let previous = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = previous.local_addr().unwrap();
    let text = config(&counter, &discovery, &[], 1024);
    let text = text.replace(
        "\"listen\":\"127.0.0.1:0\"",
        &format!("\"listen\":\"{address}\""),
    );
    let mut previous = Some(previous);
    let mut command = Command::new(env!("CARGO_BIN_EXE_roseyard-ingress"));
    command.env_remove("LB_DISCOVERY");
    let mut ingress = IngressProcess::start_after_reading_log("address", &text, command, |log| {
        next_line_containing(log, "address in use, retrying address=");
        previous = None;
    });
    assert_eq!(ingress.address, address);
    assert_eq!(ingress.terminate().code(), Some(0));
}

#[test]
fn the_error_of_an_invalid_configuration_names_the_file() {
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
        let errors = String::from_utf8(out.stderr).unwrap();
        assert!(
            errors.starts_with("roseyard: error: ") && errors.contains(name),
            "{errors}"
        );
    }
}
