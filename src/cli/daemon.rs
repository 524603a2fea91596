//! Starts the roles of a process, and shuts them down gracefully.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use eyre::{WrapErr, eyre};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use super::handles::Handles;
use super::reload::{self, Reloader};
use super::settings::{RoleName, Settings};
use crate::agent::engine::{EngineInput, HttpEngine};
use crate::agent::{Agent, AgentSettings};
use crate::api::protocol::ApiProtocol;
use crate::api::{Api, ApiSettings};
use crate::control::disk::origins::{OriginFiles, OriginWriter};
use crate::control::disk::{self, Disk, NewMember};
use crate::control::replica::{MemberId, ReplicaSettings};
use crate::control::{Control, ControlSettings, DiskInput};
use crate::entry::accept;
use crate::entry::check::Tenants;
use crate::entry::{CallerInput, Entry, EntrySettings};
use crate::gateway::protocol::CallProtocol;
use crate::gateway::{Gateway, GatewaySettings};
use crate::h1::budget::Budget;
use crate::h1::{HttpDriver, Listener, Purpose};
use crate::link::tls::Identity;
use crate::link::{Link, Request, Route, Sink};
use crate::model::{BootId, Timestamp};
use crate::registry::FollowerSettings;
use crate::report::metrics::Metrics;
use crate::report::pages::Pages;
use crate::role::{Driver, Input};
use crate::shutdown::{Shutdown, ShutdownTerms};

/// The exit code of a process that exits at once because of a SIGINT during its shutdown.
const EXIT_AT_ONCE: i32 = 1;
/// What an operator can do about a member that cannot start from its data folder.
const UNUSABLE_DATA: &str = "this member cannot use its data folder; if a file is damaged, empty the \
    folder and start the member with --bootstrap false, and it joins its group as a new one";
/// The roles under which processes follow control.
const AGENT: &str = RoleName::Agent.as_str();
const ENTRY: &str = RoleName::Entry.as_str();
const GATEWAY: &str = RoleName::Gateway.as_str();

type Thread = std::thread::JoinHandle<()>;
/// When the process was signalled to shut down.
type Signalled = Arc<OnceLock<Timestamp>>;

/// The drivers of the roles that this process runs.
#[derive(Default)]
pub(super) struct Drivers {
    pub(super) entry: Option<Driver<CallerInput>>,
    pub(super) agent: Option<Driver<EngineInput>>,
    pub(super) control: Option<Driver<DiskInput>>,
    pub(super) gateway: Option<HttpDriver>,
    pub(super) api: Option<HttpDriver>,
}

/// The protocols of the gateway and API roles, which the program supplies.
pub struct Protocols {
    /// The protocol between a gateway and its callers and endpoints.
    pub calls: Box<dyn CallProtocol>,
    /// The protocol between an API and operators and endpoints.
    pub api: Box<dyn ApiProtocol>,
}

/// Registers the signals that a daemon handles; they are kept until [`run`] handles them.
///
/// Fails if the operating system refuses a handler.
pub fn signals() -> eyre::Result<Signals> {
    Signals::new([SIGTERM, SIGINT, SIGHUP]).wrap_err("watch for signals")
}

/// Runs the roles until they have stopped; `reloader` reads the settings again meanwhile.
pub fn run(
    settings: Settings,
    reloader: Option<Reloader>,
    protocols: Option<Protocols>,
    signals: Signals,
) -> eyre::Result<()> {
    let boot = BootId::from_start(Timestamp::from_steady(), &settings.name);
    let identity = Identity::load(&settings.keys)?;
    let link = Link::bind(settings.listen, identity)?;
    let budget = Arc::new(Budget::new(settings.memory << 20, settings.max_fds));
    let drivers = Drivers {
        entry: settings.roles.contains(&RoleName::Entry).then(Driver::new),
        agent: settings.roles.contains(&RoleName::Agent).then(Driver::new),
        control: settings.roles.contains(&RoleName::Control).then(Driver::new),
        gateway: bind_gateway(&settings)?.map(|d| d.with_budget(budget.clone())),
        api: bind_api(&settings)?.map(|d| d.with_budget(budget.clone())),
    };
    let (calls, api) = match protocols {
        Some(protocols) => (Some(protocols.calls), Some(protocols.api)),
        None => (None, None),
    };
    let ready = Arc::new(AtomicBool::new(true));
    let metrics = Arc::new(Metrics::new()?);
    let signalled = Signalled::default();
    let handles = Handles::new(&drivers);
    let (reloads, reload_signals) = channel();
    watch_signals(signals, handles.clone(), reloads, ready.clone(), signalled.clone())?;
    let control = drivers.control.as_ref().map(Driver::handle);
    let url = Arc::new(Mutex::new(None));
    if let Some(address) = settings.pages.filter(|_| drivers.gateway.is_none()) {
        let announce = announcer(&drivers, url.clone());
        let pages = Pages { ready, announce };
        pages.start(address, budget.clone(), link.handle(), metrics.clone())?;
    }
    let handle = link.handle();
    let route = route(&drivers);
    let mut traffic_threads = Vec::new();
    let mut control_thread = None;
    if let Some(driver) = drivers.control {
        let folder = settings.data.as_deref().ok_or_else(|| eyre!("--data is missing"))?;
        let members = settings.members.clone();
        let mut replica = ReplicaSettings::new(settings.advertise, members, boot.0);
        replica.losses = settings.losses.unwrap_or(replica.losses);
        replica.founds = settings.bootstrap;
        let opened = disk::open(folder, NewMember::new(MemberId(boot.0), &replica));
        let (stored, files) = opened.wrap_err(UNUSABLE_DATA)?;
        let disk = Disk::start(files, driver.handle())?;
        let control_settings = ControlSettings {
            name: settings.name.clone(),
            domain: settings.domain.clone(),
            boot,
            replica,
            grace: settings.grace,
        };
        let control = Control::new(control_settings, stored).wrap_err(UNUSABLE_DATA)?;
        let control = with_saved_origins(control, folder);
        control_thread =
            Some(driver.start("control", control, handle.clone(), disk, metrics.clone())?);
    }
    if let Some(driver) = drivers.api {
        let protocol = api.ok_or_else(|| {
            eyre!("role api is not supported by this program: it supplies no protocol")
        })?;
        let api_settings = ApiSettings {
            own: settings.advertise,
            members: settings.members.clone(),
            name: settings.name.clone(),
            stages: settings.stages,
            grace: settings.grace,
        };
        let api = Api::new(api_settings, protocol);
        traffic_threads.push(driver.start("api", api, handle.clone(), metrics.clone())?);
    }
    if let Some(driver) = drivers.gateway {
        let protocol = calls.ok_or_else(|| {
            eyre!("role gateway is not supported by this program: it supplies no protocol")
        })?;
        let gateway_settings = GatewaySettings {
            follower: follower(&settings, boot, GATEWAY),
            budget: settings.budget,
            domains: settings.domains,
            grace: settings.grace,
        };
        let gateway = Gateway::new(gateway_settings, protocol).with_memory(budget.clone());
        traffic_threads.push(driver.start("gateway", gateway, handle.clone(), metrics.clone())?);
    }
    if let Some(driver) = drivers.agent {
        let engine = HttpEngine::new(url, driver.handle());
        let follower = follower(&settings, boot, AGENT);
        let agent_settings =
            AgentSettings { follower, address: settings.advertise, grace: settings.grace };
        let agent = Agent::new(agent_settings);
        traffic_threads.push(driver.start(
            "agent",
            agent,
            handle.clone(),
            engine,
            metrics.clone(),
        )?);
    }
    let mut caller_server = None;
    if let Some(driver) = drivers.entry {
        let path = settings.tenants.as_deref().ok_or_else(|| eyre!("--tenants is missing"))?;
        let tenants = Tenants::load(path)?;
        let listen = settings.callers.ok_or_else(|| eyre!("--callers is missing"))?;
        let (callers, server) = accept::start(listen, settings.bounds, driver.handle(), &budget)?;
        caller_server = Some(server);
        let entry_settings =
            EntrySettings { follower: follower(&settings, boot, ENTRY), grace: settings.grace };
        let entry = Entry::new(entry_settings, tenants, settings.placement.placement(boot.0));
        traffic_threads.push(driver.start(
            "entry",
            entry,
            handle.clone(),
            callers,
            metrics.clone(),
        )?);
    }
    link.start(route)?;
    if let Some(reloader) = reloader {
        reload::start(reloader, reload_signals, move |members| handles.name_members(&members))?;
    }
    log::info!("step=start name={} domain={} boot={boot}", settings.name, settings.domain);
    let grace = settings.grace;
    let has_control = control_thread.is_some();
    let has_traffic = !traffic_threads.is_empty();
    for thread in traffic_threads {
        join(thread)?;
    }
    if let Some(server) = caller_server {
        let close = shutdown(&signalled, grace).close_time();
        server.finish(left_until(close));
    }
    if let (Some(thread), Some(control)) = (control_thread, control) {
        if has_traffic {
            let since = *signalled.get_or_init(Timestamp::from_steady);
            control.send(Input::Shutdown { since });
        }
        join(thread)?;
    }
    handle.shutdown(!has_control, left_until(shutdown(&signalled, grace).exit_time()));
    log::info!("step=stop name={}", settings.name);
    Ok(())
}

/// Lets control keep the origins of streams in its data folder. It runs without them, too.
fn with_saved_origins(control: Control, folder: &Path) -> Control {
    let opened = OriginFiles::open(folder)
        .and_then(|(restored, files)| Ok((restored, OriginWriter::start(files)?)));
    match opened {
        Ok((restored, writer)) => {
            log::info!("step=open-origins restored={}", restored.len());
            control.with_origin_log(Timestamp::from_steady(), restored, Box::new(writer))
        }
        Err(error) => {
            log::error!("step=open-origins error={error:#}; origins are kept in memory alone");
            control
        }
    }
}

/// Returns the shutdown of the process, which begins now if it was not signalled.
fn shutdown(signalled: &Signalled, grace: Duration) -> Shutdown {
    let mut shutdown = Shutdown::new(ShutdownTerms { notice: Duration::ZERO, grace });
    shutdown.request(*signalled.get_or_init(Timestamp::from_steady));
    shutdown
}

fn left_until(at: Option<Timestamp>) -> Duration {
    at.map(|at| at - Timestamp::from_steady()).unwrap_or_default()
}

fn join(thread: Thread) -> eyre::Result<()> {
    thread.join().map_err(|_| eyre!("the thread of a role has panicked"))
}

fn bind_gateway(settings: &Settings) -> eyre::Result<Option<HttpDriver>> {
    if !settings.roles.contains(&RoleName::Gateway) {
        return Ok(None);
    }
    let calls = settings.callers.map(|address| Listener { address, purpose: Purpose::Calls });
    let pages = settings.pages.map(|address| Listener { address, purpose: Purpose::Pages });
    let listeners: Vec<Listener> = calls.into_iter().chain(pages).collect();
    HttpDriver::bind(&listeners).map(Some)
}

fn bind_api(settings: &Settings) -> eyre::Result<Option<HttpDriver>> {
    let Some(address) = settings.api else { return Ok(None) };
    HttpDriver::bind(&[Listener { address, purpose: Purpose::Calls }]).map(Some)
}

fn follower(settings: &Settings, boot: BootId, role: &str) -> FollowerSettings {
    FollowerSettings {
        name: settings.name.clone(),
        role: role.into(),
        domain: settings.domain.clone(),
        boot,
        address: Some(settings.advertise),
        members: settings.members.clone(),
        endpoints: role == ENTRY || role == GATEWAY,
        routes: role == GATEWAY,
    }
}

fn route(drivers: &Drivers) -> Route {
    let agent = drivers.agent.as_ref().map(|d| Arc::new(d.handle()) as Arc<dyn Sink>);
    let control = drivers.control.as_ref().map(|d| Arc::new(d.handle()) as Arc<dyn Sink>);
    let entry = drivers.entry.as_ref().map(|d| Arc::new(d.handle()) as Arc<dyn Sink>);
    let gateway = drivers.gateway.as_ref().map(|d| Arc::new(d.handle()) as Arc<dyn Sink>);
    Arc::new(move |request| match request {
        Request::Agent(_) => agent.clone(),
        Request::Notice(notice) => {
            let named = match notice.role() {
                GATEWAY => gateway.clone(),
                ENTRY => entry.clone(),
                AGENT => agent.clone(),
                _ => None,
            };
            named.or_else(|| control.clone())
        }
        Request::Control(_) | Request::Replica(_) => control.clone(),
    })
}

fn announcer(
    drivers: &Drivers,
    url: Arc<Mutex<Option<Box<str>>>>,
) -> Option<crate::report::pages::OnAnnounce> {
    let agent = drivers.agent.as_ref()?.handle();
    Some(Box::new(move |announcement| {
        *url.lock().unwrap_or_else(PoisonError::into_inner) = Some(announcement.url.clone());
        agent.local(EngineInput::Announced(announcement));
    }))
}

/// Starts the thread that handles signals; it tells `reloads` of each SIGHUP.
fn watch_signals(
    mut signals: Signals,
    handles: Handles,
    reloads: Sender<()>,
    ready: Arc<AtomicBool>,
    signalled: Signalled,
) -> eyre::Result<()> {
    let watch = move || {
        for signal in signals.forever() {
            if signal == SIGHUP {
                handles.reload();
                // Without a settings file nothing reads it again.
                let _ = reloads.send(());
                continue;
            }
            let stopping = !ready.swap(false, Ordering::SeqCst);
            if stopping && signal == SIGINT {
                log::warn!("step=shutdown signal={signal}: exiting at once");
                std::process::exit(EXIT_AT_ONCE);
            }
            let since = *signalled.get_or_init(Timestamp::from_steady);
            log::info!("step=shutdown signal={signal}");
            handles.shut_down(since);
        }
    };
    std::thread::Builder::new()
        .name("signals".into())
        .spawn(watch)
        .wrap_err("start signal thread")?;
    Ok(())
}
