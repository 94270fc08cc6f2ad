//! The program: reads and checks the settings, then runs one controller until it is
//! killed. The exit status is 2 if the settings can't be used, 1 if the controller can't
//! run.

#![deny(missing_docs)]

use std::path::PathBuf;
use std::process::ExitCode;

use bitternfold::settings::{DeploymentSettings, OperatorSettings, SettingsError};
use clap::Parser;
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::prelude::*;

/// Exit status for settings that can't be used.
const EXIT_BAD_SETTINGS: u8 = 2;

/// A highly available cluster scheduler.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// The platform's settings file (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Operators' own settings (Java-style properties).
    #[arg(long, value_name = "FILE", env = "BITTERNFOLD_PROPERTIES")]
    properties: Option<PathBuf>,
    /// Only check the settings.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    init_logging();
    let (deployment, operator_settings) = match load_settings(&args) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("bitternfold: {e}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    if args.check {
        println!("settings are in order");
        return ExitCode::SUCCESS;
    }
    run(deployment, operator_settings)
}

/// Sets up logging to standard error: this program's events at the level `LOG_LEVEL`
/// (`debug` or `error`; anything else means `info`) or above, and errors of its
/// dependencies.
fn init_logging() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => tracing::Level::DEBUG,
        Ok("error") => tracing::Level::ERROR,
        _ => tracing::Level::INFO,
    };
    let filter = Targets::new()
        .with_default(LevelFilter::ERROR)
        .with_target("bitternfold", level);
    let layer = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false);
    tracing_subscriber::registry()
        .with(layer.with_filter(filter))
        .init();
}

fn load_settings(args: &Args) -> Result<(DeploymentSettings, OperatorSettings), SettingsError> {
    let deployment = DeploymentSettings::load(&args.config)?;
    let operator_settings = match &args.properties {
        Some(file) => OperatorSettings::load(file)?,
        None => OperatorSettings::default(),
    };
    Ok((deployment, operator_settings))
}

/// Runs the controller on this thread; returns only if it can't start.
fn run(deployment: DeploymentSettings, operator_settings: OperatorSettings) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("bitternfold: cannot start the async runtime: {e}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(bitternfold::leader::run(deployment, operator_settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("bitternfold: {e}");
            ExitCode::FAILURE
        }
    }
}
