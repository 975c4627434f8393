//! The command line and its commands.

use super::config::Config;
use super::status_file::{self, StatusError};
use super::ProgramError;
use clap::{Parser, Subcommand, ValueEnum};
use roseyard_operator_config::log::{self, LogFormat};
use roseyard_operator_config::{
    ConfigErrors, MachineLimits, OperatorFile, OperatorFileError, OperatorSettings, SettingRow,
};
use std::path::{Path, PathBuf};

/// Descriptors that are assumed where neither the command line nor a configuration says how many.
const DEFAULT_SOCKETS: usize = 1024;

/// Shared quotas, routing and repeated attempts for services sold by plan.
#[derive(Debug, Parser)]
#[command(name = "roseyard-ingress", version, disable_help_subcommand = true)]
pub struct Cli {
    /// The command; without one, an ingress is run.
    #[command(subcommand)]
    pub command: Option<Command>,
    /// The options of a run without a command.
    #[command(flatten)]
    pub run: RunOptions,
}

/// A command of the program.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run an ingress (what is done without a subcommand too).
    Run(RunOptions),
    /// Check an operator's file; says every mistake with its place.
    Check {
        /// The file.
        file: PathBuf,
        /// The machine that the file is checked for.
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
        /// The machine that the file is checked for.
        #[command(flatten)]
        machine: MachineArgs,
    },
}

/// How an ingress is run.
#[derive(Clone, Debug, clap::Args)]
pub struct RunOptions {
    /// The operator's file (KDL); without one, defaults hold. Read again on SIGHUP.
    #[arg(long, value_name = "FILE", env = "ROSEYARD_SETTINGS")]
    pub settings: Option<PathBuf>,
    /// The form of log lines; goes before the file's.
    #[arg(long, value_enum)]
    pub log: Option<LogForm>,
}

/// The form of log lines, as an argument: lines of text, or one JSON object a line.
// Doc comments on the values would turn up in the help text.
#[allow(missing_docs)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogForm {
    Text,
    Json,
}

/// The machine that an operator's file is checked for.
#[derive(Clone, Debug, clap::Args)]
pub struct MachineArgs {
    /// Descriptors that the platform gives; by default those of the configuration that LB_CONFIG
    /// names, or 1024.
    #[arg(long, value_name = "N")]
    pub sockets: Option<usize>,
}

/// A command that could not be carried out. Its text goes to the operator as it is.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The ingress could not be run.
    #[error(transparent)]
    Program(#[from] ProgramError),
    /// The status file cannot be shown.
    #[error(transparent)]
    Status(#[from] StatusError),
    /// The operator's file cannot be read.
    #[error(transparent)]
    Unreadable(OperatorFileError),
    /// The operator's file has errors: their number and a report that shows each in its line.
    #[error("{file}: {count} mistakes\n{report}")]
    Invalid {
        /// The file, or what stands for it.
        file: String,
        /// Number of errors.
        count: usize,
        /// The report.
        report: String,
    },
}

impl MachineArgs {
    fn machine(&self) -> MachineLimits {
        let configured = || Config::read().ok().map(|config| config.limits.sockets);
        MachineLimits {
            platform_descriptors: self.sockets.or_else(configured).unwrap_or(DEFAULT_SOCKETS),
            system_descriptors: crate::transport::max_descriptors(),
        }
    }
}

impl RunOptions {
    /// Reads the operator's file; without one, the defaults.
    pub fn operator_file(&self) -> Result<OperatorFile, ProgramError> {
        match &self.settings {
            Some(path) => Ok(OperatorFile::load(path)?),
            None => Ok(OperatorFile::empty()),
        }
    }

    /// Sets up the log. The command line goes before the operator's file.
    pub fn start_log(&self, settings: &OperatorSettings) {
        let format = match self.log {
            Some(LogForm::Json) => LogFormat::Json,
            Some(LogForm::Text) => LogFormat::Text,
            None => settings.log_format,
        };
        log::init(format, settings.max_log_lines_per_second);
    }
}

/// Carries out a command.
pub fn main(cli: Cli) -> Result<(), CommandError> {
    match cli.command {
        None => super::run(&cli.run)?,
        Some(Command::Run(options)) => super::run(&options)?,
        Some(Command::Status { file, json }) => print!("{}", status_file::show(&file, json)?),
        Some(Command::Check { file, machine }) => check(&file, &machine.machine())?,
        Some(Command::Explain { file, machine }) => explain(file.as_deref(), &machine.machine())?,
    }
    Ok(())
}

fn check(path: &Path, machine: &MachineLimits) -> Result<(), CommandError> {
    let checked = CheckedFile::load(Some(path), machine)?;
    println!(
        "{}: in order, {} settings hold",
        path.display(),
        checked.rows.len()
    );
    println!("{}", checked.file.services());
    Ok(())
}

fn explain(path: Option<&Path>, machine: &MachineLimits) -> Result<(), CommandError> {
    let checked = CheckedFile::load(path, machine)?;
    print!("{}", table(&checked.rows));
    println!(
        "sockets of the platform {}, allowed by the system {}",
        machine.platform_descriptors, machine.system_descriptors
    );
    Ok(())
}

/// An operator's file without errors, and the settings that it results in.
struct CheckedFile {
    file: OperatorFile,
    rows: Vec<SettingRow>,
}

impl CheckedFile {
    /// Loads and checks a file; without a path, the defaults.
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
