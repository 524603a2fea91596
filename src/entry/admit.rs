//! The filter `admit`: limits, before anything is spent on a call.

use std::time::Duration;

use crate::control::config::{Config, Setting};
use crate::model::{Call, Refusal, RefusalReason, Timestamp};

/// When a tenant at its limit may come back.
const RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Admits a call beside those that run, or refuses it.
pub fn admit<'a>(
    _now: Timestamp,
    call: &Call,
    config: &Config,
    running: impl Iterator<Item = &'a Call>,
) -> Result<(), Refusal> {
    let most = config.value(Setting::TenantCalls, &call.tenant, &call.pool, call.class);
    let count = running.filter(|c| c.tenant == call.tenant).count() as u64;
    if count >= most {
        let detail = format!("tenant {} has {count} calls in flight", call.tenant);
        return Err(Refusal::not_run(RefusalReason::Limit, RETRY_AFTER, detail));
    }
    Ok(())
}
