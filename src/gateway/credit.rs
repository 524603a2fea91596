//! The requests to endpoints that a call has paid for.
//!
//! The first request of a call is free, and so is the run that follows its first answered prefill.
//! Every other request is a retry, whatever led to it: a retry that repeats the prefill sends two
//! requests and costs two charges. The credit is spent where a request leaves the gateway, so no
//! path of a call can send more than was charged.

/// How a request to an endpoint is paid for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Payment {
    /// It costs nothing, or was counted when it was sent before and reached no endpoint.
    Free,
    /// It is a charged retry, which counts from now on.
    Charged,
}

/// The number of requests to endpoints that a call may still send.
///
/// ```
/// use dotterelpin::gateway::credit::{Credit, Payment};
///
/// let mut credit = Credit::default();
/// assert_eq!(credit.spend(), Some(Payment::Free));
/// assert_eq!(credit.spend(), None);
/// // A retry that repeats the prefill needs two requests.
/// let missing = credit.missing(2);
/// assert_eq!(missing, 2);
/// credit.charge(missing);
/// assert_eq!(credit.spend(), Some(Payment::Charged));
/// assert_eq!(credit.unsent(), 1);
/// ```
#[derive(Debug)]
pub struct Credit {
    free: u32,
    charged: u32,
}

impl Default for Credit {
    /// Returns the credit of a new call: its first request.
    fn default() -> Credit {
        Credit { free: 1, charged: 0 }
    }
}

impl Credit {
    /// Adds requests that cost nothing: one that reached no endpoint, or the run after a first
    /// prefill.
    pub fn add(&mut self, requests: u32) {
        self.free += requests;
    }

    /// Adds requests that were charged to the retry budget.
    pub fn charge(&mut self, requests: u32) {
        self.charged += requests;
    }

    /// Returns how many of `requests` are not covered and have to be charged.
    pub fn missing(&self, requests: u32) -> u32 {
        requests.saturating_sub(self.free + self.charged)
    }

    /// Returns how many charged requests were not sent.
    pub fn unsent(&self) -> u32 {
        self.charged
    }

    /// Uses the credit for one request; returns `None` if none is left.
    pub fn spend(&mut self) -> Option<Payment> {
        let (left, payment) = match self.free {
            0 => (&mut self.charged, Payment::Charged),
            _ => (&mut self.free, Payment::Free),
        };
        *left = left.checked_sub(1)?;
        Some(payment)
    }
}
