//! The broker's executable: reads the configuration, serves until SIGTERM, answers the accepted requests, and exits.
#![forbid(unsafe_code)]

use clap::Parser;
use claywinch::run::cluster::File;
use claywinch::run::commands::{Arguments, Command};
use claywinch::run::config::{Config, ConfigError};
use claywinch::run::error::StartError;
use claywinch::run::{logging, passed, start, voter};
use std::future::Future;
use std::process::ExitCode;

fn main() -> ExitCode {
    // Must run before any thread starts, because it changes environment variables.
    let inherited = passed::take(|name| std::env::var(name).ok());
    let voter_file = match Arguments::parse().command {
        None => None,
        Some(Command::Voter { file }) => Some(file),
        Some(Command::Integrity(command)) => {
            return match command.run(&mut std::io::stdout().lock()) {
                Ok(()) => ExitCode::SUCCESS,
                Err(error) => {
                    eprintln!("{error}");
                    ExitCode::FAILURE
                }
            };
        }
    };
    let _flush_guard = logging::start();
    let outcome = match voter_file {
        Some(file) => File::read(&file)
            .map_err(|e| ConfigError::Cluster(e).into())
            .and_then(|file| block_on(voter::run(file))),
        None => {
            Config::from_env(|name| std::env::var(name).ok()).map_err(StartError::from).and_then(|config| {
                let inherited = inherited?;
                block_on(start::run(config, inherited))
            })
        }
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the future to completion on a single-threaded runtime on the current thread.
fn block_on(run: impl Future<Output = Result<(), StartError>>) -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime =
        runtime.map_err(|error| StartError::Io { what: "starting the runtime".to_string(), error })?;
    let outcome = tokio::task::LocalSet::new().block_on(&runtime, run);
    // Does not wait for blocking file operations: a slow folder must not delay the exit.
    runtime.shutdown_background();
    outcome
}
