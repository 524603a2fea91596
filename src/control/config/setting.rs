//! The settings of the configuration, with their built-in values and bounds.

use eyre::{ensure, eyre};

/// The version of the set of settings that this build supports.
pub const SCHEMA: u32 = 1;

/// A setting with a whole number as its value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Setting {
    /// The deadline of a call whose caller sets none, in milliseconds.
    CallDeadline,
    /// The target for the time to the first token, in milliseconds.
    FirstTokenTarget,
    /// The target for the time between tokens, in milliseconds.
    TokenTarget,
    /// The maximum number of attempts of a repeatable call.
    Attempts,
    /// Retries allowed for each hundred calls.
    RetryPercent,
    /// The maximum number of concurrent calls of a tenant in one entry.
    TenantCalls,
    /// Whether an entry whose configuration no majority of control confirms accepts calls (1) or
    /// refuses them (0).
    ServeUnconfirmed,
    /// How long an idempotency key is kept after it was claimed, in milliseconds.
    ClaimRetention,
    /// The number of endpoints of each pool and kind that an entry uses.
    Subset,
    /// How long a content is refused after two endpoints crashed while running it, in seconds.
    QuarantineDuration,
}

/// The name, the built-in value and the inclusive bounds of a setting.
struct Row {
    setting: Setting,
    name: &'static str,
    built_in: u64,
    min: u64,
    max: u64,
    /// The first schema version that includes the setting.
    since: u32,
}

const ROWS: [Row; 10] = [
    row(Setting::CallDeadline, "call.deadline_ms", 60_000, 1, 86_400_000),
    row(Setting::FirstTokenTarget, "call.first_token_ms", 510, 1, 86_400_000),
    row(Setting::TokenTarget, "call.token_ms", 26, 1, 60_000),
    row(Setting::Attempts, "retry.attempts", 3, 1, 10),
    row(Setting::RetryPercent, "retry.percent", 10, 0, 100),
    row(Setting::TenantCalls, "limit.tenant_calls", 10_000, 1, 1_000_000),
    row(Setting::ServeUnconfirmed, "config.serve_unconfirmed", 0, 0, 1),
    row(Setting::ClaimRetention, "claim.retention_ms", 86_400_000, 60_000, 604_800_000),
    row(Setting::Subset, "registry.subset", 32, 1, 10_000),
    row(Setting::QuarantineDuration, "quarantine.seconds", 3_600, 1, 2_592_000),
];

const fn row(setting: Setting, name: &'static str, built_in: u64, min: u64, max: u64) -> Row {
    Row { setting, name, built_in, min, max, since: 1 }
}

impl Setting {
    /// Returns every setting.
    pub fn all() -> impl Iterator<Item = Setting> {
        ROWS.iter().map(|r| r.setting)
    }

    /// Returns the name that operators use.
    pub fn as_str(self) -> &'static str {
        self.row().name
    }

    /// Returns the value that applies unless the configuration sets another.
    pub fn built_in(self) -> u64 {
        self.row().built_in
    }

    fn row(self) -> &'static Row {
        &ROWS[self as usize]
    }
}

/// Returns the first schema version that includes a setting, or `u32::MAX` for an unknown setting.
///
/// ```
/// use dotterelpin::control::config::{SCHEMA, schema_of};
///
/// assert!(schema_of("retry.attempts") <= SCHEMA);
/// assert_eq!(schema_of("no.such"), u32::MAX);
/// ```
pub fn schema_of(name: &str) -> u32 {
    ROWS.iter().find(|r| r.name == name).map_or(u32::MAX, |r| r.since)
}

/// Checks that a setting exists and that a value for it is a whole number within its bounds.
///
/// ```
/// use dotterelpin::control::config::check_value;
///
/// assert!(check_value("retry.attempts", "2").is_ok());
/// assert!(check_value("retry.attempts", "99").is_err());
/// assert!(check_value("no.such", "1").is_err());
/// ```
pub fn check_value(name: &str, value: &str) -> eyre::Result<()> {
    let Some(row) = ROWS.iter().find(|r| r.name == name) else {
        let known: Vec<_> = ROWS.iter().map(|r| r.name).collect();
        return Err(eyre!("setting {name:?} is unknown; known: {}", known.join(", ")));
    };
    let (min, max) = (row.min, row.max);
    let number: u64 = value
        .parse()
        .map_err(|_| eyre!("{name}: {value:?} is no whole number from {min} to {max}"))?;
    ensure!((min..=max).contains(&number), "{name}: {number} is outside {min} to {max}");
    Ok(())
}
