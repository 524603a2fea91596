//! Limits on the concurrent calls of each tenant.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::control::config::{Config, Setting};
use crate::model::{Call, Refusal, RefusalReason};

/// The retry delay that is returned to a tenant at its limit.
const RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// The number of open calls of each tenant in this entry.
#[derive(Debug, Default)]
pub struct Limits {
    calls: BTreeMap<Box<str>, u64>,
}

impl Limits {
    /// Counts a call, or refuses it if its tenant is at the limit.
    pub fn acquire(&mut self, call: &Call, config: &Config) -> Result<(), Refusal> {
        let limit = config.value(Setting::TenantCalls, &call.tenant, &call.pool, call.class);
        let count = self.calls.get(&call.tenant).copied().unwrap_or(0);
        if count >= limit {
            let detail = format!("tenant {} has {count} calls in flight", call.tenant);
            return Err(Refusal::not_run(RefusalReason::Limit, RETRY_AFTER, detail));
        }
        self.calls.insert(call.tenant.clone(), count + 1);
        Ok(())
    }

    /// Stops counting a call that has ended.
    pub fn release(&mut self, tenant: &str) {
        let Some(count) = self.calls.get_mut(tenant) else { return };
        *count -= 1;
        if *count == 0 {
            self.calls.remove(tenant);
        }
    }
}
