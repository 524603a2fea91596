//! The HTTP pages of a process: health, readiness, metrics and the announcement of an endpoint.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use eyre::{WrapErr, eyre};
use rouille::{Request, Response};

use super::metrics::Metrics;
use crate::model::Announcement;

/// The maximum size of an announcement in bytes.
const MAX_ANNOUNCEMENT_BYTES: u64 = 64 << 10;

/// A function that receives the announcement of an endpoint.
pub type OnAnnounce = Box<dyn Fn(Announcement) + Send + Sync>;

/// The state that the pages show and the receiver of announcements.
pub struct Pages {
    /// Whether the process accepts new work.
    pub ready: Arc<AtomicBool>,
    /// The receiver of announcements, in a process with an agent.
    pub announce: Option<OnAnnounce>,
    /// The metrics of the process.
    pub metrics: Arc<Metrics>,
}

impl Pages {
    /// Binds the address and serves the pages on a thread of their own.
    pub fn start(self, listen: SocketAddr) -> eyre::Result<()> {
        let server = rouille::Server::new(listen, move |request| self.answer(request))
            .map_err(|e| eyre!("{e}"))
            .wrap_err_with(|| format!("step=listen --pages: TCP address {listen}"))?;
        std::thread::Builder::new()
            .name("pages".into())
            .spawn(move || server.run())
            .wrap_err("start pages thread")?;
        Ok(())
    }

    fn answer(&self, request: &Request) -> Response {
        match (request.method(), &*request.url()) {
            ("GET", "/health") => Response::text("ok\n"),
            ("GET", "/ready") if self.ready.load(Ordering::SeqCst) => Response::text("ready\n"),
            ("GET", "/ready") => Response::text("shutting down\n").with_status_code(503),
            ("GET", "/metrics") => self.metrics_text(),
            ("POST", "/announce") => self.announced(request),
            (_, "/health" | "/ready" | "/metrics" | "/announce") => {
                Response::text("wrong method\n").with_status_code(405)
            }
            _ => Response::text("no such page\n").with_status_code(404),
        }
    }

    fn metrics_text(&self) -> Response {
        match self.metrics.text() {
            Ok(text) => Response::text(text),
            Err(error) => Response::text(format!("{error:#}\n")).with_status_code(500),
        }
    }

    fn announced(&self, request: &Request) -> Response {
        let Some(announce) = &self.announce else {
            return Response::text("this process has no agent\n").with_status_code(404);
        };
        match read_announcement(request) {
            Ok(announcement) => {
                announce(announcement);
                Response::text("ok\n")
            }
            Err(error) => {
                log::warn!("step=announce peer={} error={error:?}", request.remote_addr());
                Response::text(format!("announcement: {error}\n")).with_status_code(400)
            }
        }
    }
}

fn read_announcement(request: &Request) -> Result<Announcement, String> {
    let body = request.data().ok_or("it has no body")?;
    let mut text = Vec::new();
    body.take(MAX_ANNOUNCEMENT_BYTES + 1).read_to_end(&mut text).map_err(|e| e.to_string())?;
    if text.len() as u64 > MAX_ANNOUNCEMENT_BYTES {
        return Err(format!("it has over {MAX_ANNOUNCEMENT_BYTES} bytes"));
    }
    let announcement: Announcement = serde_json::from_slice(&text).map_err(|e| e.to_string())?;
    announcement.check().map_err(|e| format!("{e:#}"))?;
    Ok(announcement)
}
