//! Where the settings of a process come from: flags, the environment and the settings file.

use std::path::Path;

use super::settings::{DaemonArgs, Settings, SettingsError};

/// The flags of a process, with which its settings can be read at any time.
#[derive(Debug, Clone)]
pub struct Source {
    flags: DaemonArgs,
}

impl Source {
    /// Takes the flags of a process, completed from the environment.
    pub fn new(flags: DaemonArgs) -> Source {
        Source { flags: flags.with_environment(|name| std::env::var(name).ok()) }
    }

    /// Returns the path of the settings file, if there is one.
    ///
    /// ```
    /// use dotterelpin::cli::settings::DaemonArgs;
    /// use dotterelpin::cli::source::Source;
    ///
    /// let flags = DaemonArgs { settings: Some("a.toml".into()), ..DaemonArgs::default() };
    /// assert_eq!(Source::new(flags).path(), Some("a.toml".as_ref()));
    /// ```
    pub fn path(&self) -> Option<&Path> {
        self.flags.settings.as_deref().map(Path::new)
    }

    /// Reads the settings file; an empty text if there is none.
    ///
    /// Fails if the file can't be read or is no UTF-8.
    pub fn read(&self) -> Result<String, SettingsError> {
        let Some(path) = self.path() else { return Ok(String::new()) };
        let unreadable = |e: std::io::Error| format!("--settings: {}: {e}", path.display());
        std::fs::read_to_string(path).map_err(|e| SettingsError(vec![unreadable(e)]))
    }

    /// Completes the flags from the text of a settings file. Flags take precedence over the
    /// environment, which takes precedence over the file.
    ///
    /// Fails if the text is no TOML, or names a setting that doesn't exist.
    pub fn args(&self, text: &str) -> Result<DaemonArgs, SettingsError> {
        self.flags.clone().with_file(text)
    }

    /// Checks all settings with the text of a settings file, and the files that they name.
    ///
    /// Fails with all errors that were found.
    pub fn check(&self, text: &str) -> Result<Settings, SettingsError> {
        let settings = Settings::try_from(self.args(text)?)?;
        settings.check_files().map(|()| settings)
    }
}
