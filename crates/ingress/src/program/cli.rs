//! The command line: its options, commands and their execution.

use super::config::Config;
use super::status_file::{self, StatusError};
use super::ProgramError;
use clap::{Parser, Subcommand, ValueEnum};
use roseyard_operator_config::log::{self, LogFormat};
use roseyard_operator_config::{
    ConfigErrors, MachineLimits, OperatorFile, OperatorFileError, OperatorSettings, SettingRow,
};
use std::path::{Path, PathBuf};

/// Number of descriptors that is assumed if neither the command line nor a configuration sets it.
const DEFAULT_SOCKETS: usize = 1024;

/// Gateway with shared quotas, load balancing, retries and load shedding for services sold by plan.
#[derive(Debug, Parser)]
#[command(name = "roseyard-ingress", version, disable_help_subcommand = true)]
pub struct Cli {
    /// The command. Without one, an ingress is run.
    #[command(subcommand)]
    pub command: Option<Command>,
    /// The options that apply if no command is given.
    #[command(flatten)]
    pub run: RunOptions,
}

/// A command of the program.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run an ingress (the default without a command).
    Run(RunOptions),
    /// Check an operator's file and report every error with its location.
    Check {
        /// The operator's file (KDL).
        file: PathBuf,
        /// The machine that the file is checked for.
        #[command(flatten)]
        machine: MachineArgs,
    },
    /// Show how an ingress sees the other ingresses, from the status file that its setting
    /// 'membership { status }' names.
    Status {
        /// The status file (JSON).
        file: PathBuf,
        /// Print the file's JSON unchanged.
        #[arg(long)]
        json: bool,
    },
    /// Show the value and the source of every setting.
    Explain {
        /// The operator's file (KDL); without one, the defaults are shown.
        file: Option<PathBuf>,
        /// The machine that the file is checked for.
        #[command(flatten)]
        machine: MachineArgs,
    },
}

/// How an ingress is run.
#[derive(Clone, Debug, clap::Args)]
pub struct RunOptions {
    /// The operator's file (KDL); without one, the defaults apply. Reloaded on SIGHUP.
    #[arg(long, value_name = "FILE", env = "ROSEYARD_SETTINGS")]
    pub settings: Option<PathBuf>,
    /// The format of log lines; overrides the one in the operator's file.
    #[arg(long, value_enum)]
    pub log: Option<LogForm>,
}

/// The format of log lines, as an argument: text, or one JSON object per line.
// The values have no doc comments, because clap would show them in the help text.
#[allow(missing_docs)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogForm {
    Text,
    Json,
}

/// Options that describe the machine for which an operator's file is checked.
#[derive(Clone, Debug, clap::Args)]
pub struct MachineArgs {
    /// Number of descriptors that the platform provides; by default, that of the configuration file
    /// named by LB_CONFIG, or 1024.
    #[arg(long, value_name = "N")]
    pub sockets: Option<usize>,
}

/// Error of a command. The text is shown to the operator unchanged.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The ingress could not be started or kept running.
    #[error(transparent)]
    Program(#[from] ProgramError),
    /// The status file cannot be shown.
    #[error(transparent)]
    Status(#[from] StatusError),
    /// The operator's file cannot be read.
    #[error(transparent)]
    Unreadable(OperatorFileError),
    /// The operator's file has errors.
    #[error("{file}: {count} errors\n{report}")]
    Invalid {
        /// Path of the file, or `defaults` if none is given.
        file: String,
        /// Number of errors.
        count: usize,
        /// Report that shows each error with the line in which it occurs.
        report: String,
    },
}

impl MachineArgs {
    fn to_limits(&self) -> MachineLimits {
        let configured = || Config::read().ok().map(|config| config.limits.sockets);
        MachineLimits {
            platform_descriptors: self.sockets.or_else(configured).unwrap_or(DEFAULT_SOCKETS),
            system_descriptors: crate::transport::max_descriptors(),
        }
    }
}

impl RunOptions {
    /// Loads the operator's file. Without one, returns the defaults.
    pub fn operator_file(&self) -> Result<OperatorFile, ProgramError> {
        match &self.settings {
            Some(path) => Ok(OperatorFile::load(path)?),
            None => Ok(OperatorFile::empty()),
        }
    }

    /// Initializes the log. A format on the command line overrides that of the operator's file.
    pub fn start_log(&self, settings: &OperatorSettings) {
        let format = match self.log {
            Some(LogForm::Json) => LogFormat::Json,
            Some(LogForm::Text) => LogFormat::Text,
            None => settings.log_format,
        };
        log::init(format, settings.max_log_lines_per_second);
    }
}

/// Runs the command that the command line names.
pub fn main(cli: Cli) -> Result<(), CommandError> {
    match cli.command {
        None => super::run(&cli.run)?,
        Some(Command::Run(options)) => super::run(&options)?,
        Some(Command::Status { file, json }) => print!("{}", status_file::show(&file, json)?),
        Some(Command::Check { file, machine }) => check(&file, &machine.to_limits())?,
        Some(Command::Explain { file, machine }) => explain(file.as_deref(), &machine.to_limits())?,
    }
    Ok(())
}

fn check(path: &Path, machine: &MachineLimits) -> Result<(), CommandError> {
    let checked = CheckedFile::load(Some(path), machine)?;
    println!("{}: valid, {} settings", path.display(), checked.rows.len());
    println!("{}", checked.file.services());
    Ok(())
}

fn explain(path: Option<&Path>, machine: &MachineLimits) -> Result<(), CommandError> {
    let checked = CheckedFile::load(path, machine)?;
    print!("{}", table(&checked.rows));
    println!(
        "descriptors: {} provided by the platform, {} allowed by the system",
        machine.platform_descriptors, machine.system_descriptors
    );
    Ok(())
}

/// A valid operator's file and the resulting settings.
struct CheckedFile {
    file: OperatorFile,
    rows: Vec<SettingRow>,
}

impl CheckedFile {
    /// Loads and checks a file. Without a path, uses the defaults.
    fn load(path: Option<&Path>, machine: &MachineLimits) -> Result<CheckedFile, CommandError> {
        let name = path.map_or_else(|| "defaults".to_owned(), |path| path.display().to_string());
        let invalid = |errors: ConfigErrors| CommandError::Invalid {
            file: name.clone(),
            count: errors.iter().count(),
            report: errors.report(),
        };
        let file = match path.map(OperatorFile::load) {
            None => OperatorFile::empty(),
            Some(Ok(file)) => file,
            Some(Err(OperatorFileError::Invalid(errors))) => return Err(invalid(errors)),
            Some(Err(error)) => return Err(CommandError::Unreadable(error)),
        };
        let rows = file.setting_rows(machine).map_err(invalid)?;
        Ok(CheckedFile { file, rows })
    }
}

fn table(rows: &[SettingRow]) -> String {
    let width = |column: fn(&SettingRow) -> &str| {
        let lengths = rows.iter().map(|row| column(row).chars().count());
        lengths.max().unwrap_or(0)
    };
    let names = width(|row| &row.name);
    let values = width(|row| &row.value);
    let sources = width(|row| &row.source);
    let line = |row: &SettingRow| {
        format!(
            "{:names$}  {:values$}  {:sources$}  {} ({})\n",
            row.name, row.value, row.source, row.description, row.allowed
        )
    };
    rows.iter().map(line).collect()
}
