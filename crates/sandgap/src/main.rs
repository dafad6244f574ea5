//! The program `sandgap`.

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let Some(path) = std::env::var_os("NODE_CONFIG") else {
        sandgap::note!("NODE_CONFIG is not set");
        return ExitCode::FAILURE;
    };
    match sandgap::daemon::serve(PathBuf::from(path)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            sandgap::note!("{text}");
            ExitCode::FAILURE
        }
    }
}
