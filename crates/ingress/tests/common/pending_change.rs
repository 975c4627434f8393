//! A change of the endpoint list that discovery cannot send yet.

use super::connection::Connection;
use super::harness::Harness;
use super::messages::{chunk, endpoint_entry, endpoint_list, WATCH_HEAD};
use super::peer::Peer;
use std::time::Duration;

/// What becomes of calls to discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum DiscoveryFault {
    Refuses,
    /// Connections are never established.
    NeverAccepts,
    Silent,
    /// The head of a reply, and nothing behind it.
    HeadOnly,
    /// Half of a list, and nothing behind it.
    HalfList,
    Resets,
    Rejects,
    /// The watch ends without a line.
    EndsAtOnce,
}

pub(crate) const DISCOVERY_FAULTS: [DiscoveryFault; 8] = [
    DiscoveryFault::Refuses,
    DiscoveryFault::NeverAccepts,
    DiscoveryFault::Silent,
    DiscoveryFault::HeadOnly,
    DiscoveryFault::HalfList,
    DiscoveryFault::Resets,
    DiscoveryFault::Rejects,
    DiscoveryFault::EndsAtOnce,
];

/// A change counts as notified this long after discovery has it and can be reached.
pub(crate) const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(6);

/// And this long after SIGHUP where the new address has it by then.
pub(crate) const MAX_NOTIFICATION_DELAY_AFTER_RELOAD: Duration = Duration::from_secs(4);

pub(crate) const STEP_MS: u64 = 100;

/// How an ingress uses discovery.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DiscoveryMode {
    /// Are lists pushed, or polled by calls that may wait?
    pub(crate) is_pushed: bool,
    pub(crate) ingresses: u32,
    /// Milliseconds within which requests to a drained endpoint must end.
    pub(crate) drain_grace_ms: u64,
}

pub(crate) const DISCOVERY_MODES: [DiscoveryMode; 4] = [
    DiscoveryMode {
        is_pushed: true,
        ingresses: 1,
        drain_grace_ms: 2000,
    },
    DiscoveryMode {
        is_pushed: true,
        ingresses: 300,
        drain_grace_ms: 500,
    },
    DiscoveryMode {
        is_pushed: false,
        ingresses: 300,
        drain_grace_ms: 2000,
    },
    DiscoveryMode {
        is_pushed: false,
        ingresses: 300,
        drain_grace_ms: 0,
    },
];

/// An ingress whose discovery has a change to send, once it can be reached.
pub(crate) struct PendingChange {
    pub(crate) harness: Harness,
    pub(crate) mode: DiscoveryMode,
    /// Connections to discovery that have been replied to.
    pub(crate) handled_connections: usize,
    /// The old address of discovery, which keeps sending that nothing has changed.
    pub(crate) old_discovery: Option<Peer>,
}

impl PendingChange {
    pub(crate) fn new(mode: DiscoveryMode) -> PendingChange {
        PendingChange::with_replacements(mode, &[])
    }

    /// The same with parts of its configuration replaced.
    pub(crate) fn with_replacements(mode: DiscoveryMode, words: &[(&str, &str)]) -> PendingChange {
        let mut harness = Harness::new(2);
        let ingresses = format!("\"Balancers\":{},", mode.ingresses);
        let discovery = if mode.is_pushed {
            "\"Discovery\":\"automatic\""
        } else {
            "\"Discovery\":\"subscribe\""
        };
        let tier = [
            ("\"Balancers\":1,", &*ingresses),
            ("\"Discovery\":\"automatic\"", discovery),
        ];
        harness.restart_with_drain_grace(mode.drain_grace_ms, &[&tier, words].concat());
        harness.discovery_replies = false;
        let handled_connections = harness.discovery.connections.len();
        PendingChange {
            harness,
            mode,
            handled_connections,
            old_discovery: None,
        }
    }

    pub(crate) fn update_line(&self) -> String {
        endpoint_list(
            42,
            false,
            &[endpoint_entry(
                0,
                self.harness.endpoints[0].address,
                "DRAINING",
            )],
        )
    }

    /// Calls fail like this from now on; the open watch falls silent, or breaks.
    pub(crate) fn fail(&mut self, fault: DiscoveryFault) {
        match fault {
            DiscoveryFault::Refuses => self.harness.discovery.stop(),
            DiscoveryFault::NeverAccepts => self.harness.discovery.stop_accepting(),
            DiscoveryFault::Silent | DiscoveryFault::HeadOnly | DiscoveryFault::HalfList => {}
            DiscoveryFault::Resets | DiscoveryFault::Rejects | DiscoveryFault::EndsAtOnce => {
                self.harness
                    .discovery
                    .connections
                    .iter_mut()
                    .for_each(Connection::close);
            }
        }
        self.handled_connections = self.harness.discovery.connections.len();
    }

    /// Calls from now on can reach discovery; those from before never get a reply.
    pub(crate) fn recover(&mut self, fault: DiscoveryFault) {
        match fault {
            DiscoveryFault::Refuses => self.harness.discovery.restart(),
            DiscoveryFault::NeverAccepts => {
                self.harness.discovery.resume_accepting();
                self.harness.discovery.accept();
            }
            _ => {}
        }
        self.handled_connections = self.harness.discovery.connections.len();
    }

    /// Lets time pass while calls fail like this; how many calls there were.
    pub(crate) fn step(&mut self, fault: DiscoveryFault) -> usize {
        self.harness.advance(STEP_MS);
        let update = self.update_line();
        let calls = self
            .harness
            .discovery
            .connections
            .split_at_mut(self.handled_connections)
            .1;
        for call in calls.iter_mut() {
            match fault {
                DiscoveryFault::Refuses | DiscoveryFault::NeverAccepts | DiscoveryFault::Silent => {
                }
                DiscoveryFault::HeadOnly => call.send(WATCH_HEAD),
                DiscoveryFault::HalfList => call.send(format!(
                    "{WATCH_HEAD}{}",
                    chunk(&update[..update.len() / 2])
                )),
                DiscoveryFault::Resets => call.reset(),
                DiscoveryFault::Rejects => {
                    call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                }
                DiscoveryFault::EndsAtOnce => call.send(format!("{WATCH_HEAD}0\r\n\r\n")),
            }
        }
        let made = calls.len();
        self.handled_connections += made;
        for _ in 0..made {
            self.harness.run_round();
        }
        made
    }

    pub(crate) fn fail_for(&mut self, fault: DiscoveryFault, time: Duration) {
        let end = self.harness.now + time;
        while self.harness.now < end {
            self.step(fault);
        }
    }

    /// Calls are replied to with the change; it must be applied this long after `since` at the
    /// latest.
    pub(crate) fn assert_applied_within(&mut self, most: Duration, since: Duration, what: &str) {
        let update = format!("{WATCH_HEAD}{}", chunk(&self.update_line()));
        while self.harness.program.list_revision() == 41 {
            let late = self.harness.now - since;
            assert!(
                late <= most,
                "{what}, {:?}: not applied after {late:?}",
                self.mode
            );
            self.harness.advance(STEP_MS);
            if let Some(old_discovery) = &mut self.old_discovery {
                old_discovery.read();
                old_discovery
                    .connections
                    .iter_mut()
                    .for_each(|end| end.send(chunk("\n")));
            }
            for call in &mut self.harness.discovery.connections[self.handled_connections..] {
                call.send(&update);
            }
            if self.harness.discovery.connections.len() > self.handled_connections {
                self.handled_connections = self.harness.discovery.connections.len();
                self.harness
                    .run_until("the list", |s| s.program.list_revision() == 42);
            }
        }
    }

    /// A reload migrates discovery to a new address; the old one stays as it is.
    pub(crate) fn migrate_discovery(&mut self) -> Peer {
        let old = std::mem::replace(&mut self.harness.discovery, Peer::new());
        drop(self.harness.reload_with_new_peers());
        self.handled_connections = 0;
        old
    }
}
