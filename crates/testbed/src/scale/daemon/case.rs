//! The measured cases: each is a version of the daemon at one size.

use super::options::{DaemonOptions, ALL_TENANTS, DEFAULT_TENANTS};
use crate::scale::targets;
use crate::scale::topology::ServiceTopology;

/// How the servers are divided into services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServiceLayout {
    /// One unnamed service, as when the operator's file has no `services` section.
    Unnamed,
    /// Services whose sizes have a long-tailed distribution, with 17 servers on average.
    LongTail,
}

/// One version of the daemon at one size.
#[derive(Clone, Debug)]
pub(super) struct Case {
    /// Whether this is the earlier version of the daemon.
    pub is_baseline: bool,
    /// How the servers are divided into services.
    pub layout: ServiceLayout,
    /// The number of servers.
    pub servers: u32,
    /// The number of tenants.
    pub tenants: u64,
}

/// Identifies the cases that differ only in their size and share a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CaseSeries {
    /// Whether the cases are of the earlier version of the daemon.
    pub is_baseline: bool,
    /// How the servers are divided into services.
    pub layout: ServiceLayout,
    /// Whether the number of tenants is varied instead of the number of servers.
    pub tenants_varied: bool,
}

impl Case {
    /// Returns the series that the case belongs to.
    pub(super) fn series(&self) -> CaseSeries {
        CaseSeries {
            is_baseline: self.is_baseline,
            layout: self.layout,
            tenants_varied: self.tenants != DEFAULT_TENANTS,
        }
    }

    /// Returns the number that is varied in the case's series: servers or tenants.
    pub(super) fn size(&self) -> usize {
        if self.tenants == DEFAULT_TENANTS {
            self.servers as usize
        } else {
            self.tenants as usize
        }
    }

    /// Returns a topology whose numbers of services and routes and whose largest service are
    /// proportional to those of the planned size.
    pub(super) fn topology(&self) -> ServiceTopology {
        if self.layout == ServiceLayout::Unnamed {
            return ServiceTopology::unnamed(self.servers);
        }
        let scale_to_servers = |planned: usize| {
            let servers = u64::from(self.servers);
            (planned as u64 * servers / targets::SERVERS as u64).max(1) as u32
        };
        let services = scale_to_servers(targets::SERVICES);
        let mean = self.servers.div_ceil(services);
        let largest = scale_to_servers(targets::LARGEST_SERVICE).max(mean);
        let routes = scale_to_servers(targets::ROUTES).max(services);
        ServiceTopology::long_tail(self.servers, services, largest, routes)
    }
}

/// Returns a case for each size, version and layout and, if `all_tenants` is set, further cases
/// with 1 tenant and with all tenants at the largest size.
pub(super) fn cases(options: &DaemonOptions) -> Vec<Case> {
    let mut cases = Vec::new();
    for servers in &options.run.sizes {
        cases.extend(cases_of_size(options, *servers as u32, DEFAULT_TENANTS));
    }
    let largest = options.run.sizes.iter().max();
    if let Some(largest) = largest.filter(|_| options.all_tenants) {
        for tenants in [1, ALL_TENANTS] {
            cases.extend(cases_of_size(options, *largest as u32, tenants));
        }
    }
    cases
}

/// Returns the cases of one size, the earlier version first.
fn cases_of_size(options: &DaemonOptions, servers: u32, tenants: u64) -> Vec<Case> {
    let case = |is_baseline, layout| Case {
        is_baseline,
        layout,
        servers,
        tenants,
    };
    let mut cases = Vec::new();
    if options.baseline_daemon.is_some() {
        cases.push(case(true, ServiceLayout::Unnamed));
    }
    cases.push(case(false, ServiceLayout::Unnamed));
    if options.run.services {
        cases.push(case(false, ServiceLayout::LongTail));
    }
    cases
}
