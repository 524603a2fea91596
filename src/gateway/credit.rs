//! The requests to endpoints that a call has paid for.
//!
//! The first request of a call is free, and so is the run that follows its first answered prefill.
//! Every other request is a retry, whatever led to it: a retry that repeats the prefill sends two
//! requests and costs two charges. The credit is spent where a request leaves the gateway, so no
//! path of a call can send more than was charged.

/// The number of requests to endpoints that a call may still send.
///
/// ```
/// use dotterelpin::gateway::credit::Credit;
///
/// let mut credit = Credit::default();
/// assert!(credit.spend());
/// assert!(!credit.spend());
/// // A retry that repeats the prefill needs two requests.
/// let missing = credit.missing(2);
/// assert_eq!(missing, 2);
/// credit.add(missing);
/// assert!(credit.spend() && credit.spend());
/// ```
#[derive(Debug)]
pub struct Credit(u32);

impl Default for Credit {
    /// Returns the credit of a new call: its first request.
    fn default() -> Credit {
        Credit(1)
    }
}

impl Credit {
    /// Adds requests: charged ones, one that reached no endpoint, or the run after a first prefill.
    pub fn add(&mut self, requests: u32) {
        self.0 += requests;
    }

    /// Returns how many of `requests` are not covered and have to be charged.
    pub fn missing(&self, requests: u32) -> u32 {
        requests.saturating_sub(self.0)
    }

    /// Uses the credit for one request; returns `false` if none is left.
    pub fn spend(&mut self) -> bool {
        let covered = self.0 > 0;
        self.0 = self.0.saturating_sub(1);
        covered
    }
}
