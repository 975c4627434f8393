//! Several simulated ingresses that run in step.

use super::environment::SimulatedEnvironment;
use super::ingress::SimulatedIngress;
use super::traffic::{RequestLoad, Traffic};
use crate::scale::endpoint_set::EndpointSet;
use std::sync::Arc;
use std::time::Duration;

/// All ingresses of a platform, by their numbers.
pub(crate) struct SimulatedFleet {
    /// The ingresses.
    pub ingresses: Vec<SimulatedIngress>,
}

impl SimulatedFleet {
    /// So many ingresses that have received the complete endpoint list.
    pub(crate) fn new(
        endpoints: &Arc<EndpointSet>,
        ingresses: usize,
        seed: u64,
        environment: &mut SimulatedEnvironment,
    ) -> SimulatedFleet {
        let ingress = |number| SimulatedIngress::new(endpoints, ingresses, number, seed);
        let mut fleet = SimulatedFleet {
            ingresses: (0..ingresses).map(ingress).collect(),
        };
        fleet.receive_line(&endpoints.complete_list(), environment);
        fleet
    }

    /// Each ingress receives a line of its watch.
    pub(crate) fn receive_line(&mut self, line: &[u8], environment: &mut SimulatedEnvironment) {
        for ingress in &mut self.ingresses {
            ingress.receive_line(line, environment);
        }
    }

    /// Each ingress runs to this time under this load.
    pub(crate) fn run(
        &mut self,
        until: Duration,
        load: RequestLoad,
        environment: &mut SimulatedEnvironment,
    ) {
        for ingress in &mut self.ingresses {
            ingress.run(until, Some(load), environment);
        }
    }

    /// Forgets the traffic so far.
    pub(crate) fn reset_traffic(&mut self) {
        for ingress in &mut self.ingresses {
            ingress.traffic = Traffic::default();
        }
    }

    /// The traffic of all ingresses.
    pub(crate) fn traffic(&self) -> Traffic {
        self.ingresses.iter().map(|ingress| ingress.traffic).sum()
    }
}
