//! A change of the endpoint list that a fault of discovery keeps from the ingress.

use super::connection::Connection;
use super::harness::Harness;
use super::messages::{chunk, endpoint_entry, endpoint_list, WATCH_HEAD};
use super::peer::Peer;
use std::time::Duration;

/// How calls to discovery fail.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum DiscoveryFault {
    /// Connections are refused.
    Refuses,
    /// Connections are never established.
    NeverAccepts,
    /// Calls get no reply.
    Silent,
    /// Calls get the head of a reply and nothing after it.
    HeadOnly,
    /// Calls get half of a list and nothing after it.
    HalfList,
    /// Connections are reset.
    Resets,
    /// Calls get status 503.
    Rejects,
    /// The reply ends without a line.
    EndsAtOnce,
}

/// All faults.
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

/// The longest time until a change is applied, from when discovery has it and can be reached.
pub(crate) const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(6);

/// The longest time until a change is applied, from a SIGHUP that sets a new address of discovery,
/// where discovery has the change by then.
pub(crate) const MAX_NOTIFICATION_DELAY_AFTER_RELOAD: Duration = Duration::from_secs(4);

/// The time by which [`PendingChange::step`] advances the clock.
pub(crate) const STEP_MS: u64 = 100;

/// Settings of the ingress that decide how soon it calls discovery again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DiscoveryMode {
    /// Whether discovery pushes changes over an open watch; otherwise the ingress polls.
    pub(crate) is_pushed: bool,
    /// The number of ingresses in the tier.
    pub(crate) ingresses: u32,
    /// The time that requests to a draining endpoint may take.
    pub(crate) drain_grace_ms: u64,
}

/// The modes under which each fault is tested.
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

/// An ingress that holds list revision 41, and a discovery that has not yet sent revision 42.
pub(crate) struct PendingChange {
    pub(crate) harness: Harness,
    pub(crate) mode: DiscoveryMode,
    /// The number of connections to discovery that the test has already handled.
    pub(crate) handled_connections: usize,
    /// Discovery at its old address, which keeps sending that nothing has changed.
    pub(crate) old_discovery: Option<Peer>,
}

impl PendingChange {
    /// Starts the ingress; the watch is open and no fault has occurred.
    pub(crate) fn new(mode: DiscoveryMode) -> PendingChange {
        PendingChange::with_replacements(mode, &[])
    }

    /// Starts the ingress like `new`, after replacing texts of its configuration.
    pub(crate) fn with_replacements(
        mode: DiscoveryMode,
        replacements: &[(&str, &str)],
    ) -> PendingChange {
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
        harness.restart_with_drain_grace(mode.drain_grace_ms, &[&tier, replacements].concat());
        harness.discovery_replies = false;
        let handled_connections = harness.discovery.connections.len();
        PendingChange {
            harness,
            mode,
            handled_connections,
            old_discovery: None,
        }
    }

    /// Returns the pending change: revision 42, in which the first endpoint drains.
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

    /// Starts a fault: calls fail from now on, and the open watch falls silent or is closed.
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

    /// Ends a fault: new calls reach discovery, while earlier ones never get a reply.
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

    /// Advances the clock by one step while calls fail. Returns the number of calls.
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
        let call_count = calls.len();
        self.handled_connections += call_count;
        for _ in 0..call_count {
            self.harness.run_iteration();
        }
        call_count
    }

    /// Lets calls fail for this long.
    pub(crate) fn fail_for(&mut self, fault: DiscoveryFault, duration: Duration) {
        let end = self.harness.now + duration;
        while self.harness.now < end {
            self.step(fault);
        }
    }

    /// Replies to calls with the change, and checks that the ingress applies it within `max_delay`
    /// of `since`.
    pub(crate) fn assert_applied_within(
        &mut self,
        max_delay: Duration,
        since: Duration,
        what: &str,
    ) {
        let update = format!("{WATCH_HEAD}{}", chunk(&self.update_line()));
        while self.harness.program.list_revision() == 41 {
            let delay = self.harness.now - since;
            assert!(
                delay <= max_delay,
                "{what}, {:?}: not applied after {delay:?}, limit {max_delay:?}",
                self.mode
            );
            self.harness.advance(STEP_MS);
            if let Some(old_discovery) = &mut self.old_discovery {
                old_discovery.read();
                old_discovery
                    .connections
                    .iter_mut()
                    .for_each(|c| c.send(chunk("\n")));
            }
            for call in &mut self.harness.discovery.connections[self.handled_connections..] {
                call.send(&update);
            }
            if self.harness.discovery.connections.len() > self.handled_connections {
                self.handled_connections = self.harness.discovery.connections.len();
                self.harness
                    .run_until("the list", |h| h.program.list_revision() == 42);
            }
        }
    }

    /// Reloads the ingress with a new address of discovery. Returns the peer at the old address,
    /// which stays as it is.
    pub(crate) fn migrate_discovery(&mut self) -> Peer {
        let old = std::mem::replace(&mut self.harness.discovery, Peer::new());
        drop(self.harness.reload_with_new_peers());
        self.handled_connections = 0;
        old
    }
}
