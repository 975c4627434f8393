//! The command line.

use super::config::Config;
use clap::{Parser, Subcommand, ValueEnum};
use roseyard_operator_config::log::{self, LogFormat};
use roseyard_operator_config::{
    ConfigErrors, File, FileError, MachineLimits, OperatorSettings, SettingRow,
};
use std::path::{Path, PathBuf};

/// Shared quotas, routing and repeated attempts for services sold by plan.
#[derive(Debug, Parser)]
#[command(name = "roseyard-ingress", version, disable_help_subcommand = true)]
pub struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    run: Run,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run an ingress (what is done without a subcommand too).
    Run(Run),
    /// Check an operator's file; says every mistake with its place.
    Check {
        /// The file.
        file: PathBuf,
        #[command(flatten)]
        machine: MachineArgs,
    },
    /// Show how an ingress sees the others, from the file that its 'membership { status }' names.
    Status {
        /// The file.
        file: PathBuf,
        /// As it stands there.
        #[arg(long)]
        json: bool,
    },
    /// Show every setting as it would hold, and where it comes from.
    Explain {
        /// The file; without one, the defaults.
        file: Option<PathBuf>,
        #[command(flatten)]
        machine: MachineArgs,
    },
}

/// How an ingress is run.
#[derive(Clone, Debug, clap::Args)]
pub struct Run {
    /// The operator's file (KDL); without one, defaults hold. Read again on SIGHUP.
    #[arg(long, value_name = "FILE", env = "ROSEYARD_SETTINGS")]
    settings: Option<PathBuf>,
    /// The form of log lines; goes before the file's.
    #[arg(long, value_enum)]
    log: Option<LogForm>,
}

#[derive(Clone, Copy, Debug, PartialEq, ValueEnum)]
enum LogForm {
    Text,
    Json,
}

#[derive(Clone, Debug, clap::Args)]
struct MachineArgs {
    /// Descriptors that the platform gives; by default those of the configuration that LB_CONFIG
    /// names, or 1024.
    #[arg(long, value_name = "N")]
    sockets: Option<usize>,
}

impl MachineArgs {
    fn machine(&self) -> MachineLimits {
        let told = || Config::read().ok().map(|config| config.limits.sockets);
        MachineLimits {
            platform_descriptors: self.sockets.or_else(told).unwrap_or(1024),
            system_descriptors: crate::transport::allowed(),
        }
    }
}

impl Run {
    /// Reads the operator's file, if there is one.
    pub fn file(&self) -> Result<File, String> {
        match &self.settings {
            Some(path) => File::load(path).map_err(|error| error.to_string()),
            None => Ok(File::none()),
        }
    }

    /// Sets up the log for these settings.
    pub fn start_log(&self, settings: &OperatorSettings) {
        let format = match self.log {
            Some(LogForm::Json) => LogFormat::Json,
            Some(LogForm::Text) => LogFormat::Text,
            None => settings.log_format,
        };
        log::init(format, settings.max_log_lines_per_second);
    }
}

/// Does what the command line says.
pub fn main(cli: Cli) -> Result<(), String> {
    match cli.command {
        None => super::run(&cli.run),
        Some(Command::Run(run)) => super::run(&run),
        Some(Command::Status { file, json }) => {
            print!("{}", super::status::show(&file, json)?);
            Ok(())
        }
        Some(Command::Check { file, machine }) => {
            let (checked, rows) = checked(Some(&file), &machine.machine())?;
            println!("{}: in order, {} settings hold", file.display(), rows.len());
            println!("{}", checked.services());
            Ok(())
        }
        Some(Command::Explain { file, machine }) => {
            let machine = machine.machine();
            print!("{}", table(&checked(file.as_deref(), &machine)?.1));
            println!(
                "sockets of the platform {}, allowed by the system {}",
                machine.platform_descriptors, machine.system_descriptors
            );
            Ok(())
        }
    }
}

/// A file and its settings, or its mistakes drawn with their lines.
fn checked(
    path: Option<&Path>,
    machine: &MachineLimits,
) -> Result<(File, Vec<SettingRow>), String> {
    let named = path.map_or_else(|| "defaults".to_owned(), |path| path.display().to_string());
    let said = |wrong: ConfigErrors| {
        format!(
            "{named}: {} mistakes\n{}",
            wrong.iter().count(),
            wrong.report()
        )
    };
    let file = match path.map(File::load) {
        Some(Ok(file)) => file,
        Some(Err(FileError::Invalid(errors))) => return Err(said(errors)),
        Some(Err(error)) => return Err(error.to_string()),
        None => File::none(),
    };
    let rows = file.setting_rows(machine).map_err(said)?;
    Ok((file, rows))
}

fn table(rows: &[SettingRow]) -> String {
    let wide = |of: fn(&SettingRow) -> &str| {
        rows.iter()
            .map(|r| of(r).chars().count())
            .max()
            .unwrap_or(0)
    };
    let (names, values, sources) = (wide(|r| &r.name), wide(|r| &r.value), wide(|r| &r.source));
    let line = |r: &SettingRow| {
        format!(
            "{:names$}  {:values$}  {:sources$}  {} ({})\n",
            r.name, r.value, r.source, r.about, r.allowed
        )
    };
    rows.iter().map(line).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_deploy_line_without_a_subcommand_runs_and_a_wrong_word_is_told() {
        use clap::CommandFactory;
        Cli::command().debug_assert();
        let parse = |words: &[&str]| Cli::try_parse_from([&["roseyard-ingress"], words].concat());
        assert!(parse(&[]).unwrap().command.is_none());
        let Some(Command::Run(run)) = parse(&["run", "--settings", "a.kdl", "--log", "json"])
            .unwrap()
            .command
        else {
            panic!("not run")
        };
        assert_eq!(
            (run.settings.as_deref(), run.log),
            (Some(Path::new("a.kdl")), Some(LogForm::Json))
        );
        assert!(parse(&["--log", "xml"])
            .unwrap_err()
            .to_string()
            .contains("text"));
        assert!(parse(&["chek", "a"])
            .unwrap_err()
            .to_string()
            .contains("check"));
    }
}
