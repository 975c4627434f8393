//! Compares the controller with a reference model under random sequences of steps. The model keeps
//! a plain list of connections and scans all of it for every decision.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use roseyard_admission::*;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

/// The seed of the random steps. It is fixed, so that a failure can be reproduced.
const SEED: u64 = 20_261_201;

/// A step of a test case. The `usize` in a step on a connection selects one of the open ones.
#[derive(Clone, Copy, Debug)]
enum Step {
    Connect(u8),
    Request(usize),
    Command(usize),
    ProtocolError(usize),
    Answer(usize, bool),
    HalfClose(usize),
    Close(usize),
    ExhaustDescriptors,
    SetCapacity(usize),
    WaitMs(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let n = 0usize..64;
    prop_oneof![
        6 => (0u8..6).prop_map(Step::Connect),
        6 => n.clone().prop_map(Step::Request),
        1 => n.clone().prop_map(Step::Command),
        1 => n.clone().prop_map(Step::ProtocolError),
        6 => (n.clone(), any::<bool>()).prop_map(|(n, served)| Step::Answer(n, served)),
        1 => n.clone().prop_map(Step::HalfClose),
        1 => n.prop_map(Step::Close),
        1 => Just(Step::ExhaustDescriptors),
        1 => (2usize..14).prop_map(Step::SetCapacity),
        6 => (1u64..900).prop_map(Step::WaitMs),
    ]
}

#[derive(Clone, Debug)]
struct ModelConnection {
    id: ConnectionId,
    address: u8,
    commands: u32,
    served: u32,
    faults: u32,
    half_closed: bool,
    /// `Some` while the connection has open requests; true if they count as those of a new client.
    busy_as_new_client: Option<bool>,
    /// The reputation in whose queue the connection was last put as idle.
    queued_reputation: Reputation,
    /// Increases with each connection that is put into a queue.
    queue_order: u64,
    idle_since: Duration,
}

struct Model {
    policy: AdmissionPolicy,
    now: Duration,
    connections: Vec<ModelConnection>,
    served_by_address: BTreeMap<u8, u32>,
    faults_by_address: BTreeMap<u8, u32>,
    queue_order: u64,
    warm_up_end: Duration,
    generation: u64,
    /// The actions that the controller is expected to return in the current step.
    expected: Vec<Action>,
}

impl Model {
    fn new(policy: AdmissionPolicy, now: Duration) -> Model {
        Model {
            now,
            connections: Vec::new(),
            served_by_address: BTreeMap::new(),
            faults_by_address: BTreeMap::new(),
            queue_order: 0,
            warm_up_end: now + policy.warm_up_period,
            generation: 0,
            expected: Vec::new(),
            policy,
        }
    }

    fn is_address_known(&self, address: u8) -> bool {
        let served = self.served_by_address.get(&address);
        self.policy.identify_clients_by_address
            && served.is_some_and(|n| *n as f32 >= self.policy.known_after_served_requests)
    }

    fn is_address_suspect(&self, address: u8) -> bool {
        let faults = self.faults_by_address.get(&address);
        self.policy.identify_clients_by_address
            && faults.is_some_and(|n| *n as f32 >= self.policy.suspect_after_faults)
    }

    fn reputation(&self, connection: &ModelConnection) -> Reputation {
        let c = connection;
        let min_served_requests = if self.now < self.warm_up_end { 1 } else { 2 };
        let is_known =
            c.commands > 1 && c.served >= min_served_requests || self.is_address_known(c.address);
        match () {
            () if c.half_closed => Reputation::HalfClosed,
            () if c.faults > c.served => Reputation::Suspect,
            () if c.served == 0 && self.is_address_suspect(c.address) => Reputation::Suspect,
            () if c.commands == 0 => Reputation::NoCommand,
            () if is_known => Reputation::Known,
            () if c.commands > 1 => Reputation::New,
            () => Reputation::OneCommand,
        }
    }

    fn get(&self, n: usize) -> Option<ModelConnection> {
        self.connections
            .get(n % self.connections.len().max(1))
            .cloned()
    }

    fn get_mut(&mut self, id: ConnectionId) -> &mut ModelConnection {
        self.connections.iter_mut().find(|c| c.id == id).unwrap()
    }

    fn open_connections_of(&self, address: u8) -> usize {
        self.connections
            .iter()
            .filter(|c| c.address == address)
            .count()
    }

    fn idle_in_eviction_order(&self) -> Vec<ModelConnection> {
        let mut idle: Vec<ModelConnection> = self
            .connections
            .iter()
            .filter(|c| c.busy_as_new_client.is_none())
            .cloned()
            .collect();
        idle.sort_by_key(|c| (c.queued_reputation, c.queue_order));
        idle
    }

    fn eviction_candidate(&self, evicted_for: Reputation) -> Option<ConnectionId> {
        let idle = self.idle_in_eviction_order();
        let has_idle_without_command = idle
            .iter()
            .any(|c| c.queued_reputation == Reputation::NoCommand);
        let is_first_of_its_reputation = |at: usize| {
            idle[..at]
                .iter()
                .all(|c| c.queued_reputation != idle[at].queued_reputation)
        };
        let may_be_evicted = |c: &ModelConnection| {
            let idle_time = self.now - c.idle_since;
            match c.queued_reputation {
                Reputation::NoCommand => {
                    evicted_for >= Reputation::Known
                        || idle_time >= self.policy.first_command_grace_period
                }
                Reputation::Known => {
                    evicted_for >= Reputation::Known
                        || idle_time >= self.policy.known_client_grace_period
                            && !has_idle_without_command
                }
                _ => true,
            }
        };
        (0..idle.len())
            .find(|at| is_first_of_its_reputation(*at) && may_be_evicted(&idle[*at]))
            .map(|at| idle[at].id)
    }

    fn close(&mut self, connection: ConnectionId, reason: RejectionReason) {
        self.connections.retain(|c| c.id != connection);
        self.expected.push(Action::Close { connection, reason });
    }

    fn reject(&mut self, connection: ConnectionId, reason: RejectionReason) {
        self.expected.push(Action::RejectConnection {
            connection,
            retry_after: self.policy.retry_after,
            reason,
        });
    }

    fn queue_idle(&mut self, id: ConnectionId) {
        let Some(at) = self.connections.iter().position(|c| c.id == id) else {
            return;
        };
        let reputation = self.reputation(&self.connections[at]);
        self.queue_order += 1;
        self.connections[at].queued_reputation = reputation;
        self.connections[at].queue_order = self.queue_order;
        let max_idle = match reputation {
            Reputation::NoCommand => self.policy.max_idle_without_command,
            Reputation::OneCommand => self.policy.max_idle_after_one_command,
            _ => usize::MAX,
        };
        let queue: Vec<ModelConnection> = self
            .idle_in_eviction_order()
            .into_iter()
            .filter(|c| c.queued_reputation == reputation)
            .collect();
        let is_grace_over =
            self.now - queue[0].idle_since >= self.policy.first_command_grace_period;
        if queue.len() > max_idle && (reputation != Reputation::NoCommand || is_grace_over) {
            self.close(queue[0].id, RejectionReason::IdleCap);
        }
    }

    fn become_idle(&mut self, id: ConnectionId) {
        let now = self.now;
        let Some(connection) = self.connections.iter_mut().find(|c| c.id == id) else {
            return;
        };
        connection.busy_as_new_client = None;
        connection.idle_since = now;
        let address = connection.address;
        let open = self.open_connections_of(address);
        let max_per_client = self.policy.max_per_client;
        if self.policy.identify_clients_by_address
            && max_per_client.is_some_and(|cap| open > cap as usize)
        {
            return self.close(id, RejectionReason::ClientCap);
        }
        self.queue_idle(id);
        if self.connections.len() > self.policy.capacity {
            if let Some(first) = self.idle_in_eviction_order().first() {
                self.close(first.id, RejectionReason::Evicted);
            }
        }
    }

    /// Returns an id in the first free slot, with a generation that no other id has.
    fn next_id(&mut self) -> ConnectionId {
        self.generation += 1;
        let is_free = |slot: &u32| self.connections.iter().all(|c| c.id.0 as u32 != *slot);
        let slot = (0..).find(is_free).unwrap();
        ConnectionId(self.generation << 32 | u64::from(slot))
    }

    fn connect(&mut self, id: ConnectionId, address: u8) {
        let open = self.open_connections_of(address);
        let max_per_client = self.policy.max_per_client;
        if self.policy.identify_clients_by_address
            && max_per_client.is_some_and(|cap| open >= cap as usize)
        {
            return self.reject(id, RejectionReason::ClientCap);
        }
        if self.connections.len() >= self.policy.capacity {
            let reputation = if self.is_address_known(address) {
                Reputation::Known
            } else {
                Reputation::New
            };
            match self.eviction_candidate(reputation) {
                Some(evicted) => self.close(evicted, RejectionReason::Evicted),
                None => return self.reject(id, RejectionReason::AtCapacity),
            }
        }
        self.connections.push(ModelConnection {
            id,
            address,
            commands: 0,
            served: 0,
            faults: 0,
            half_closed: false,
            busy_as_new_client: None,
            queued_reputation: Reputation::NoCommand,
            queue_order: self.queue_order,
            idle_since: self.now,
        });
        self.queue_idle(id);
    }

    fn request(&mut self, id: ConnectionId) {
        let connection = self.get_mut(id).clone();
        let reserve = if connection.commands > 0 {
            self.policy.reserve / 2
        } else {
            self.policy.reserve
        };
        let new_client_capacity = self.policy.capacity.saturating_sub(reserve);
        let busy_new_clients = self
            .connections
            .iter()
            .filter(|c| c.busy_as_new_client == Some(true))
            .count();
        self.get_mut(id).commands += 1;
        if connection.busy_as_new_client.is_some() {
            return;
        }
        let connection = self.get_mut(id).clone();
        let is_new_client = self.reputation(&connection) < Reputation::Known;
        if is_new_client && busy_new_clients >= new_client_capacity {
            self.expected.push(Action::RejectRequest {
                retry_after: self.policy.retry_after,
            });
        } else {
            self.get_mut(id).busy_as_new_client = Some(is_new_client);
        }
    }

    fn answer(&mut self, id: ConnectionId, served: bool) {
        if served {
            let connection = self.get_mut(id);
            connection.served += 1;
            let address = connection.address;
            *self.served_by_address.entry(address).or_default() += 1;
        }
        self.become_idle(id);
    }

    fn protocol_error(&mut self, id: ConnectionId) {
        let connection = self.get_mut(id);
        connection.faults += 1;
        let address = connection.address;
        *self.faults_by_address.entry(address).or_default() += 1;
        self.become_idle(id);
    }

    fn exhaust_descriptors(&mut self) {
        match self.eviction_candidate(Reputation::New) {
            Some(id) => self.close(id, RejectionReason::Evicted),
            None => self.expected.push(Action::PauseAccepting {
                until: self.now + self.policy.first_command_grace_period,
            }),
        }
    }

    fn set_capacity(&mut self, capacity: usize) {
        self.policy.capacity = capacity;
        while self.connections.len() > capacity {
            let Some(first) = self.idle_in_eviction_order().first().map(|c| c.id) else {
                break;
            };
            self.close(first, RejectionReason::Evicted);
        }
    }
}

/// Applies a step to the controller and to the model. Returns the controller's actions; the
/// expected actions are in `model.expected`.
fn apply(step: Step, controller: &mut AdmissionController, model: &mut Model) -> Vec<Action> {
    let mut actions = Vec::new();
    let now = model.now;
    let mut handle = |event| controller.handle(now, event, &mut actions);
    match step {
        Step::WaitMs(ms) => model.now += Duration::from_millis(ms),
        Step::Connect(address) => {
            let connection = model.next_id();
            let peer_address = IpAddr::V4(Ipv4Addr::new(192, 0, 2, address));
            handle(Event::Connected {
                connection,
                peer_address,
            });
            model.connect(connection, address);
        }
        Step::ExhaustDescriptors => {
            handle(Event::DescriptorsExhausted);
            model.exhaust_descriptors();
        }
        Step::SetCapacity(capacity) => {
            model.set_capacity(capacity);
            controller.set_policy(model.policy.clone(), now, &mut actions);
        }
        Step::Request(n)
        | Step::Command(n)
        | Step::ProtocolError(n)
        | Step::Answer(n, _)
        | Step::HalfClose(n)
        | Step::Close(n) => {
            if let Some(connection) = model.get(n) {
                apply_to_connection(step, &connection, model, handle);
            }
        }
    }
    actions
}

/// Applies a step to an open connection, if it is possible in the connection's state.
fn apply_to_connection(
    step: Step,
    connection: &ModelConnection,
    model: &mut Model,
    mut handle: impl FnMut(Event),
) {
    let id = connection.id;
    let is_idle = connection.busy_as_new_client.is_none();
    let may_send = !connection.half_closed;
    match step {
        Step::Request(_) if may_send => {
            handle(Event::RequestReceived {
                connection: id,
                customer: 1,
            });
            model.request(id);
        }
        Step::Command(_) if is_idle && may_send => {
            handle(Event::CommandHandled(id));
            handle(Event::BecameIdle(id));
            model.get_mut(id).commands += 1;
            model.become_idle(id);
        }
        Step::ProtocolError(_) if is_idle && may_send => {
            handle(Event::ProtocolError(id));
            handle(Event::BecameIdle(id));
            model.protocol_error(id);
        }
        Step::Answer(_, served) if !is_idle => {
            handle(Event::RequestAnswered {
                connection: id,
                served,
            });
            handle(Event::BecameIdle(id));
            model.answer(id, served);
        }
        Step::HalfClose(_) if is_idle => {
            handle(Event::HalfClosed(id));
            model.get_mut(id).half_closed = true;
            model.become_idle(id);
        }
        Step::Close(_) => {
            handle(Event::Closed {
                connection: id,
                client_fault: false,
            });
            model.connections.retain(|other| other.id != id);
        }
        _ => {}
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_controller_returns_the_same_actions_as_the_reference_model(
        identify_clients_by_address in any::<bool>(),
        max_per_client in prop::option::of(1u32..5),
        reserve in 0usize..4,
        steps in prop::collection::vec(step(), 1..300),
    ) {
        let now = Duration::from_secs(100);
        let policy = AdmissionPolicy {
            reserve,
            identify_clients_by_address,
            max_per_client,
            history_cache_capacity: 8,
            max_idle_after_one_command: 3,
            max_idle_without_command: 4,
            known_half_life: Duration::from_secs(1 << 30),
            // Low enough for the few protocol errors of a test case to make an address suspect.
            suspect_after_faults: 2.0,
            suspect_half_life: Duration::from_secs(1 << 30),
            warm_up_period: Duration::from_secs(5),
            ..AdmissionPolicy::with_capacity(8)
        };
        let mut controller = AdmissionController::new(policy.clone(), 7, now);
        let mut model = Model::new(policy, now);
        for step in steps {
            model.expected.clear();
            let actions = apply(step, &mut controller, &mut model);
            prop_assert_eq!(&actions, &model.expected, "{:?}", step);
            let open = controller.open_connections();
            prop_assert_eq!(open, model.connections.len());
            let is_busy = |c: &&ModelConnection| c.busy_as_new_client.is_some();
            let busy = model.connections.iter().filter(is_busy).count();
            prop_assert!(
                open <= model.policy.capacity.max(busy),
                "only connections with open requests may exceed the capacity"
            );
            let sizes = controller.cache_sizes();
            prop_assert!(sizes.clients <= 8 + open);
            prop_assert!(sizes.networks <= 8 + open);
            prop_assert!(sizes.customers <= 8);
            for c in &model.connections {
                prop_assert_eq!(
                    controller.reputation(c.id, model.now),
                    Some(model.reputation(c))
                );
            }
        }
    }
}
