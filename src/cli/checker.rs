//! Checks of single flags that collect all errors instead of stopping at the first.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use super::settings::RoleName;

/// The largest value of a decimal setting.
const MAX_DECIMAL: f64 = 1e6;
/// The most bytes in a name.
const MAX_NAME_BYTES: usize = 64;
const ADDRESS: &str = "IP:PORT, such as 127.0.0.1:7000";

/// Collects errors while flags are checked.
#[derive(Debug, Default)]
pub struct Checker {
    /// The errors found so far, one line each.
    pub errors: Vec<String>,
}

impl Checker {
    /// Records an error; the text begins with the name of the flag without hyphens.
    pub fn error(&mut self, text: &str) {
        self.errors.push(format!("--{text}"));
    }

    /// Records an invalid value together with what is allowed.
    pub fn invalid(&mut self, flag: &str, value: &str, allowed: &str) {
        self.error(&format!("{flag}: {value:?} is not allowed: {allowed}"));
    }

    /// Returns a required text, trimmed; records an error if it is missing or empty.
    pub fn text(&mut self, flag: &str, value: &Option<String>) -> String {
        match value.as_deref().map(str::trim) {
            Some(text) if !text.is_empty() => text.into(),
            _ => {
                let variable = flag.to_uppercase().replace('-', "_");
                self.error(&format!("{flag}: missing, and DOTTERELPIN_{variable} is not set"));
                String::new()
            }
        }
    }

    /// Returns a required name that needs no quoting in logs, metrics and commands.
    pub fn name(&mut self, flag: &str, value: &Option<String>) -> Box<str> {
        let text = self.text(flag, value);
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
        if text.len() > MAX_NAME_BYTES || !text.chars().all(is_allowed) {
            self.invalid(flag, &text, "1 to 64 letters, digits, dots, hyphens and underscores");
        }
        text.into()
    }

    /// Returns a required path.
    pub fn path(&mut self, flag: &str, value: &Option<String>) -> PathBuf {
        self.text(flag, value).into()
    }

    /// Returns a required address.
    pub fn required_address(&mut self, flag: &str, value: &Option<String>) -> Option<SocketAddr> {
        let text = self.text(flag, value);
        if text.is_empty() { None } else { self.parse_address(flag, &text) }
    }

    /// Returns an optional address.
    pub fn address(&mut self, flag: &str, value: &Option<String>) -> Option<SocketAddr> {
        value.as_deref().and_then(|v| self.parse_address(flag, v))
    }

    /// Parses an address; the port must not be 0, since others need to know it.
    pub fn parse_address(&mut self, flag: &str, text: &str) -> Option<SocketAddr> {
        let address: Option<SocketAddr> = text.trim().parse().ok();
        let address = address.filter(|a| a.port() != 0);
        if address.is_none() {
            self.invalid(flag, text, ADDRESS);
        }
        address
    }

    /// Returns an optional count from 1 to `max`, or `default` if not given.
    pub fn count(
        &mut self,
        flag: &str,
        value: &Option<String>,
        default: usize,
        max: usize,
    ) -> usize {
        let Some(text) = value else { return default };
        let count = text.trim().parse().ok().filter(|c| (1..=max).contains(c));
        if count.is_none() {
            self.invalid(flag, text, &format!("a number from 1 to {max}"));
        }
        count.unwrap_or(default)
    }

    /// Returns an optional port from 1 to 65535.
    pub fn port(&mut self, flag: &str, value: &Option<String>) -> Option<u16> {
        let text = value.as_deref()?;
        let port = text.trim().parse().ok().filter(|p| *p != 0);
        if port.is_none() {
            self.invalid(flag, text, "a port from 1 to 65535");
        }
        port
    }

    /// Returns an optional number from 0 to [`MAX_DECIMAL`], or `default` if not given.
    pub fn decimal(&mut self, flag: &str, value: &Option<String>, default: f64) -> f64 {
        let Some(text) = value else { return default };
        let range = 0.0..=MAX_DECIMAL;
        let number = text.trim().parse().ok().filter(|n: &f64| range.contains(n));
        if number.is_none() {
            self.invalid(flag, text, &format!("a number from 0 to {MAX_DECIMAL}"));
        }
        number.unwrap_or(default)
    }

    /// Returns an optional duration given in seconds, or `default`; it must not be 0.
    pub fn seconds(&mut self, flag: &str, value: &Option<String>, default: Duration) -> Duration {
        let duration = Duration::from_secs_f64(self.decimal(flag, value, default.as_secs_f64()));
        if duration.is_zero() {
            self.invalid(flag, "0", "more than 0 seconds");
        }
        duration
    }

    /// Returns an optional choice from `words`, or `default` if not given.
    pub fn choice(
        &mut self,
        flag: &str,
        value: &Option<String>,
        default: &'static str,
        words: &[&'static str],
    ) -> &'static str {
        let Some(text) = value else { return default };
        let found = words.iter().find(|w| **w == text.trim());
        if found.is_none() {
            self.invalid(flag, text, &words.join(", "));
        }
        found.copied().unwrap_or(default)
    }

    /// Checks that a flag is given if a role is started, and not given otherwise.
    pub fn required_for(
        &mut self,
        role: RoleName,
        roles: &BTreeSet<RoleName>,
        flag: &str,
        value: &Option<String>,
    ) {
        let given = value.as_deref().is_some_and(|v| !v.trim().is_empty());
        if roles.contains(&role) && !given {
            self.error(&format!("{flag}: missing, and role {} needs it", role.as_str()));
        }
        self.only_for(role, roles, flag, value);
    }

    /// Checks that a flag is not given unless the one role that uses it is started.
    pub fn only_for(
        &mut self,
        role: RoleName,
        roles: &BTreeSet<RoleName>,
        flag: &str,
        value: &Option<String>,
    ) {
        if !roles.contains(&role) && value.is_some() {
            self.error(&format!("{flag}: given, but only role {} uses it", role.as_str()));
        }
    }
}
