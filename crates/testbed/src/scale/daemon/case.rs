//! The cases that are measured: a version of the daemon at a size.

use super::options::{DaemonOptions, ALL_TENANTS, DEFAULT_TENANTS};
use crate::scale::targets;
use crate::scale::topology::ServiceTopology;

/// How servers are divided into services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServiceLayout {
    /// One service without a name, as without a section on services.
    Unnamed,
    /// Services with a long tail, 17 servers in the mean.
    LongTail,
}

/// One version of the daemon at one size.
#[derive(Clone, Debug)]
pub(super) struct Case {
    /// Is it the earlier version?
    pub is_baseline: bool,
    /// How servers are divided.
    pub layout: ServiceLayout,
    /// Servers.
    pub servers: u32,
    /// Tenants.
    pub tenants: u64,
}

/// Cases that differ only in their size, which make one report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CaseSeries {
    /// Are they of the earlier version?
    pub is_baseline: bool,
    /// How servers are divided.
    pub layout: ServiceLayout,
    /// Are tenants varied, and not servers?
    pub tenants_varied: bool,
}

impl Case {
    pub(super) fn series(&self) -> CaseSeries {
        CaseSeries {
            is_baseline: self.is_baseline,
            layout: self.layout,
            tenants_varied: self.tenants != DEFAULT_TENANTS,
        }
    }

    /// What is varied: servers, or tenants.
    pub(super) fn size(&self) -> usize {
        if self.tenants == DEFAULT_TENANTS {
            self.servers as usize
        } else {
            self.tenants as usize
        }
    }

    /// Services, the largest of them and routes, in proportion to the planned size.
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

/// Each size for each version and layout, and 1 and all tenants at the largest size.
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

/// The versions follow one another at each size.
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
