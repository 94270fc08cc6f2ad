//! The program: reads its settings and runs one controller until it is killed.

use std::path::PathBuf;
use std::process::ExitCode;

use bitternfold::settings::{DeploymentSettings, OperatorSettings};
use clap::Parser;
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::prelude::*;

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
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => tracing::Level::DEBUG,
        Ok("error") => tracing::Level::ERROR,
        _ => tracing::Level::INFO,
    };
    let quiet = Targets::new()
        .with_default(LevelFilter::ERROR)
        .with_target("bitternfold", level);
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false);
    tracing_subscriber::registry()
        .with(lines.with_filter(quiet))
        .init();
    let settings = DeploymentSettings::load(&args.config).and_then(|p| {
        Ok((
            p,
            args.properties
                .as_deref()
                .map_or_else(|| Ok(OperatorSettings::default()), OperatorSettings::load)?,
        ))
    });
    let (deployment, operator_settings) = match settings {
        Ok(s) => s,
        Err(e) => {
            eprintln!("bitternfold: {e}");
            return ExitCode::from(2);
        }
    };
    if args.check {
        println!("settings are in order");
        return ExitCode::SUCCESS;
    }
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(r) => r,
        Err(e) => {
            eprintln!("bitternfold: no runtime: {e}");
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
