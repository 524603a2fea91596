//! The client accounts of requests, by the keys that callers send.

use super::super::{Gateway, answer};
use crate::gateway::protocol::RefusalInfo;
use crate::h1::RequestHead;
use crate::model::Timestamp;
use crate::routes::Route;
use crate::routes::accounts::AccountKey;

impl Gateway {
    /// Returns the client account that a request belongs to, if any, or the refusal of a request
    /// whose key no client account holds.
    pub(in crate::gateway) fn identify(
        &self,
        now: Timestamp,
        head: &RequestHead,
        route: &Route,
    ) -> Result<Option<AccountKey>, RefusalInfo> {
        let accounts = self.table.accounts();
        if accounts.is_empty() {
            return Ok(None);
        }
        let found = self.protocol.key(head).and_then(|key| accounts.find(key));
        if found.is_some() || route.public {
            return Ok(found);
        }
        // A newer table may have added the key.
        Err(if self.is_certain(now) { answer::unknown_key() } else { answer::unconfirmed_key() })
    }
}
