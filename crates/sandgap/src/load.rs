//! Detects the kind of a configuration file and reads it.

use std::path::Path;

use crate::config::Config;
use crate::{platform, settings};

/// The kind of a configuration file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// sandgap's own settings.
    Own,
    /// The platform's JSON.
    Platform,
}

impl Kind {
    /// The kind of a file, by its name extension.
    pub fn of(path: &Path) -> Self {
        if path.extension().is_some_and(|e| e == "toml") { Kind::Own } else { Kind::Platform }
    }
}

/// Reads a file: sandgap's own settings if its name ends in `.toml`, the platform's JSON otherwise.
///
/// # Errors
/// A text with one line for each problem.
pub fn read(path: &Path) -> Result<Config, String> {
    if Kind::of(path) == Kind::Own {
        let with_path = |p: &settings::Problem| format!("{}: {p}", path.display());
        return settings::read(path).map_err(|all| all.iter().map(with_path).collect::<Vec<_>>().join("\n"));
    }
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    platform::parse(&text).map(with_environment).map_err(|e| {
        format!(
            "{}: {e}\n{0}: it was read as the platform's JSON, since its name does not end in .toml; for sandgap's \
             own settings, rename it to end in .toml",
            path.display()
        )
    })
}

/// Applies the environment variables that the platform sets for each process. They override the file, which an upgraded
/// process may share with the previous one. A value that is not an address is ignored.
fn with_environment(mut config: Config) -> Config {
    let admin = std::env::var("NODE_ADMIN").ok().and_then(|text| text.parse().ok());
    config.admin = admin.or(config.admin);
    config.upgrade = std::env::var_os("TMPDIR").map(Into::into);
    config
}
