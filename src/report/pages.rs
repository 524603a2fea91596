//! The HTTP pages of a process: health, readiness, metrics and the announcement of an endpoint.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use eyre::WrapErr;

use super::metrics::Metrics;
use crate::h1::budget::Budget;
use crate::h1::{HttpDriver, HttpEffect, HttpInput, Listener, Purpose, Request, write};
use crate::link::LinkHandle;
use crate::model::{Announcement, Timestamp};
use crate::role::{Input, Output, Role};

/// The maximum size of an announcement in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 64 << 10;

/// A function that receives the announcement of an endpoint.
pub type OnAnnounce = Box<dyn Fn(Announcement) + Send + Sync>;

/// The state that the pages show and the receiver of announcements.
pub struct Pages {
    /// Whether the process accepts new work.
    pub ready: Arc<AtomicBool>,
    /// The receiver of announcements, in a process with an agent.
    pub announce: Option<OnAnnounce>,
}

/// A status with a text.
type Answer = (u16, String);

impl Pages {
    /// Binds the address and serves the pages, and the metrics, on a thread of their own.
    pub fn start(
        self,
        listen: SocketAddr,
        budget: Arc<Budget>,
        link: LinkHandle,
        metrics: Arc<Metrics>,
    ) -> eyre::Result<()> {
        let listener = Listener { address: listen, purpose: Purpose::Pages };
        let driver = HttpDriver::bind(&[listener]).wrap_err("--pages")?.with_budget(budget);
        driver.start("pages", self, link, metrics)?;
        Ok(())
    }

    fn answer(&self, request: &Request) -> Answer {
        match (&*request.head.method, request.head.path()) {
            ("GET", "/health") => (200, "ok".into()),
            ("GET", "/ready") if self.ready.load(Ordering::SeqCst) => (200, "ready".into()),
            ("GET", "/ready") => (503, "shutting down".into()),
            ("POST", "/announce") => self.announced(&request.body),
            (_, "/health" | "/ready" | "/announce") => (405, "wrong method".into()),
            _ => (404, "no such page".into()),
        }
    }

    fn announced(&self, body: &[u8]) -> Answer {
        let Some(announce) = &self.announce else {
            return (404, "this process has no agent".into());
        };
        match read_announcement(body) {
            Ok(announcement) => {
                announce(announcement);
                (200, "ok".into())
            }
            Err(error) => {
                log::warn!("step=announce error={error:?}");
                (400, format!("announcement: {error}"))
            }
        }
    }
}

impl Role for Pages {
    type Local = HttpInput;
    type Effect = HttpEffect;

    fn step(&mut self, _now: Timestamp, input: Input<HttpInput>) -> Vec<Output<HttpEffect>> {
        let Input::Local(HttpInput::Request { caller, request, .. }) = input else {
            return Vec::new();
        };
        let (status, text) = self.answer(&request);
        let keep = !request.head.wants_close();
        let text = format!("{text}\n");
        let bytes = write::answer(status, &[], "text/plain", text.as_bytes(), keep);
        vec![
            Output::Effect(HttpEffect::Reply { caller, bytes }),
            Output::Effect(HttpEffect::Finish { caller, keep }),
        ]
    }

    fn next_wake(&self) -> Option<Timestamp> {
        None
    }
}

fn read_announcement(body: &[u8]) -> Result<Announcement, String> {
    if body.len() > MAX_ANNOUNCEMENT_BYTES {
        return Err(format!("it has over {MAX_ANNOUNCEMENT_BYTES} bytes"));
    }
    let announcement: Announcement = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    announcement.check().map_err(|e| format!("{e:#}"))?;
    Ok(announcement)
}
