//! A fleet of simulated ingresses that advance together in virtual time.

use super::environment::SimulatedEnvironment;
use super::ingress::SimulatedIngress;
use super::traffic::{RequestLoad, Traffic};
use crate::scale::endpoint_set::EndpointSet;
use std::sync::Arc;
use std::time::Duration;

/// All ingresses of a platform.
pub(crate) struct SimulatedFleet {
    /// The ingresses, by index.
    pub ingresses: Vec<SimulatedIngress>,
}

impl SimulatedFleet {
    /// Creates a fleet of `ingresses` ingresses that have received the complete endpoint list.
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

    /// Delivers a line of the watch to each ingress.
    pub(crate) fn receive_line(&mut self, line: &[u8], environment: &mut SimulatedEnvironment) {
        for ingress in &mut self.ingresses {
            ingress.receive_line(line, environment);
        }
    }

    /// Runs each ingress until this virtual time under this load.
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

    /// Resets the traffic statistics of all ingresses to zero.
    pub(crate) fn reset_traffic(&mut self) {
        for ingress in &mut self.ingresses {
            ingress.traffic = Traffic::default();
        }
    }

    /// Returns the traffic of all ingresses since the last reset.
    pub(crate) fn traffic(&self) -> Traffic {
        self.ingresses.iter().map(|ingress| ingress.traffic).sum()
    }
}
