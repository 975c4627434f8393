//! Reload of the platform's configuration and the operator's file on SIGHUP.
//!
//! A reload changes the addresses of discovery and the counter, descriptor limits, the admission
//! policy, the snapshot settings, membership keys, services and routes, with immediate effect. All
//! other settings keep their values from startup. If either file cannot be read or is invalid,
//! nothing changes.

use super::config::Config;
use super::{cli::RunOptions, Program, ProgramError};
use roseyard_operator_config::{OperatorFile, OperatorSettings};

/// The content of both files, checked against the machine's limits.
struct NewConfiguration {
    config: Config,
    operator: OperatorSettings,
    file: OperatorFile,
}

impl Program {
    /// Reads both files again and applies them.
    pub(super) fn reload_files(&mut self) {
        let file = self
            .run_options
            .as_ref()
            .map_or_else(|| Ok(OperatorFile::empty()), RunOptions::operator_file);
        self.reload(
            Config::reread()
                .map_err(ProgramError::from)
                .and_then(|config| Ok((config, file?))),
        );
    }

    /// Applies a configuration, or logs the error because of which it is rejected.
    pub fn reload(&mut self, loaded: Result<(Config, OperatorFile), ProgramError>) {
        match loaded.and_then(|(config, file)| self.check(config, file)) {
            Ok(new) => self.apply(new),
            Err(error) => tracing::warn!(
                event = "reload.rejected",
                %error,
                "configuration rejected, previous one stays in force"
            ),
        }
    }

    fn check(&self, config: Config, file: OperatorFile) -> Result<NewConfiguration, ProgramError> {
        let operator = file
            .resolve(&self.machine)
            .map_err(ProgramError::OperatorSettings)?;
        Ok(NewConfiguration {
            config,
            operator,
            file,
        })
    }

    fn apply(&mut self, new: NewConfiguration) {
        let NewConfiguration {
            config,
            operator,
            file,
        } = new;
        let io = &mut self.io;
        // Cannot fail: `check` has compared the guaranteed descriptors with the total.
        let limits = operator.descriptor_limits;
        if let Err(error) = io
            .descriptor_budget
            .set_limits(operator.descriptors, limits)
        {
            tracing::warn!(
                event = "reload.descriptors",
                %error,
                "descriptor limits not reloaded"
            );
        }
        self.frontend.set_policy(operator.policy, io);
        self.snapshots.set(operator.reputation_snapshot);
        self.snapshots.schedule(&mut self.snapshot_deadline, io);
        if let Some(membership) = &mut self.membership {
            membership.reload(&operator.membership);
        }
        self.frontend.set_route_field(file.services().route_field());
        self.driver.set_directory(file.services().directory());
        let counter = config
            .counter
            .map_or_else(|| "none".to_owned(), |address| address.to_string());
        let discovery = config.discovery;
        tracing::info!(
            event = "reload.completed",
            %discovery,
            counter,
            "configuration reloaded"
        );
        self.driver.migrate_to(discovery, config.counter, io);
    }
}
