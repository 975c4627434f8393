//! Reload: SIGHUP reads both files again.
//!
//! Discovery and the counter move to the new addresses at once; admission, membership keys,
//! services and routes follow the operator's file; all else stays as it was started. If either file
//! cannot be read or does not fit, nothing changes.

use super::config::Config;
use super::{cli::RunOptions, Program, ProgramError};
use roseyard_operator_config::{OperatorFile, OperatorSettings};

/// Both files, checked against each other and the machine.
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

    /// Applies a configuration that was read, or logs why it is rejected.
    pub fn reload(&mut self, read: Result<(Config, OperatorFile), ProgramError>) {
        match read.and_then(|(config, file)| self.check(config, file)) {
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
        // Cannot fail: the shares were checked against the total just now.
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
