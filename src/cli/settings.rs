//! The checked settings of a daemon.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

pub use super::args::DaemonArgs;
use super::checker::Checker;
use crate::api::stages::StageTerms;
use crate::entry::accept::CallerBounds;
use crate::entry::place::Variant;
use crate::gateway::budget::BudgetTerms;
use crate::gateway::place::locality::{DEFAULT_LATENCY, DomainTerms};
use crate::report::LogFormat;

/// The default limit of open calls at an entry.
const DEFAULT_CALLS: usize = 8_192;
/// The default limit of open connections of callers at an entry.
const DEFAULT_CONNECTIONS: usize = 16_384;
/// The largest limit of calls or connections that a setting may have.
const MAX_OPEN: usize = 1_000_000;
/// The default memory of a process's VM, in MB.
const DEFAULT_MEMORY_MB: usize = 256;
/// The default limit of open descriptors.
const DEFAULT_FDS: usize = 65_536;
/// The most control members.
const MAX_MEMBERS: usize = 7;
/// The most control members that may be lost at once.
const MAX_LOSSES: usize = 15;
/// The default ratio of retries to calls, over all gateways.
const DEFAULT_RETRY_RATIO: f64 = 0.1;
/// The default number of additional retries of all gateways in each window.
const DEFAULT_RETRY_EXTRA: f64 = 10.0;
/// The default window of the retry budget.
const DEFAULT_RETRY_WINDOW: Duration = Duration::from_secs(10);
/// The default grace period of a process with a gateway or an API.
const DEFAULT_GRACE: Duration = Duration::from_secs(8);
/// The default grace period of other processes, longer than the default deadline of a call.
const DEFAULT_LONG_GRACE: Duration = Duration::from_secs(65);
/// The bounds of the grace period.
const GRACE_BOUNDS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(3_600));
/// The largest share of engines for prefill, in percent.
const MAX_PREFILL_SHARE: f64 = 90.0;
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// A role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RoleName {
    /// Accepts the requests of callers and runs them through agents.
    Entry,
    /// Runs the work of a single endpoint on behalf of entries.
    Agent,
    /// Replicates the log of configuration, orders and claims.
    Control,
    /// Forwards calls to endpoints without agents.
    Gateway,
    /// Serves HTTP requests of operators and endpoints, in the process of a control member.
    Api,
}

impl RoleName {
    /// Every role.
    pub const ALL: [RoleName; 5] =
        [RoleName::Entry, RoleName::Agent, RoleName::Control, RoleName::Gateway, RoleName::Api];

    /// Returns the name of the role in settings.
    pub const fn as_str(self) -> &'static str {
        match self {
            RoleName::Entry => "entry",
            RoleName::Agent => "agent",
            RoleName::Control => "control",
            RoleName::Gateway => "gateway",
            RoleName::Api => "api",
        }
    }
}

impl FromStr for RoleName {
    type Err = eyre::Report;

    fn from_str(text: &str) -> eyre::Result<RoleName> {
        let found = RoleName::ALL.into_iter().find(|r| r.as_str() == text);
        found.ok_or_else(|| eyre::eyre!("unknown role {text:?}"))
    }
}

/// The checked settings of a daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The roles that this process runs.
    pub roles: BTreeSet<RoleName>,
    /// The name of this process, unique in the fleet.
    pub name: Box<str>,
    /// The failure domain of this process.
    pub domain: Box<str>,
    /// The UDP address that the link binds.
    pub listen: SocketAddr,
    /// The address at which other processes reach this one.
    pub advertise: SocketAddr,
    /// The addresses of all control members.
    pub members: Vec<SocketAddr>,
    /// The number of control members that may be lost at once, if it is given.
    pub losses: Option<usize>,
    /// Whether the control members may found their group.
    pub bootstrap: bool,
    /// The folder of the fleet key.
    pub keys: PathBuf,
    /// The data folder; required for control.
    pub data: Option<PathBuf>,
    /// The TCP address for callers of an entry or a gateway.
    pub callers: Option<SocketAddr>,
    /// The file of tenants' credentials; required for an entry.
    pub tenants: Option<PathBuf>,
    /// The limits of open calls and connections at an entry.
    pub bounds: CallerBounds,
    /// The variant of placement at an entry.
    pub placement: Variant,
    /// The TCP address for operators and endpoints of an API.
    pub api: Option<SocketAddr>,
    /// The terms of the retry budget shared by all gateways.
    pub budget: BudgetTerms,
    /// What it costs a gateway's calls to leave its failure domain.
    pub domains: DomainTerms,
    /// The share of a pool's engines used for prefill and the number of spares, for an API.
    pub stages: StageTerms,
    /// How long after SIGTERM the process is killed; it ends by itself before.
    pub grace: Duration,
    /// The TCP address for health, readiness, metrics and announcements.
    pub pages: Option<SocketAddr>,
    /// The memory of the process's VM, in MB.
    pub memory: usize,
    /// The number of descriptors that the process may have open.
    pub max_fds: usize,
    /// The log level, such as `info`.
    pub log: Box<str>,
    /// The format of log lines.
    pub format: LogFormat,
}

/// All errors found in the settings, one line each.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError(pub Vec<String>);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0.join("\n"))
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks the files and folders that the settings name, without writing anything.
    pub fn check_files(&self) -> Result<(), SettingsError> {
        let mut errors = Vec::new();
        if let Err(error) = crate::link::tls::Identity::load(&self.keys) {
            errors.push(format!("--keys: {error:#}"));
        }
        if let Some(tenants) = &self.tenants
            && let Err(error) = crate::entry::check::Tenants::load(tenants)
        {
            errors.push(format!("--tenants: {error:#}"));
        }
        if let Some(data) = self.data.as_deref().filter(|d| d.exists() && !d.is_dir()) {
            errors.push(format!("--data: {} is not a folder", data.display()));
        }
        if errors.is_empty() { Ok(()) } else { Err(SettingsError(errors)) }
    }
}

impl TryFrom<DaemonArgs> for Settings {
    type Error = SettingsError;

    fn try_from(args: DaemonArgs) -> Result<Settings, SettingsError> {
        let mut check = Checker::default();
        let roles = check_roles(&mut check, &args);
        let name = check.name("name", &args.name);
        let domain = check.name("domain", &args.domain);
        let listen = check.required_address("listen", &args.listen);
        let advertise = check.address("advertise", &args.advertise);
        check_reachable(&mut check, listen, advertise);
        let members = check_members(&mut check, &args);
        let losses = check_losses(&mut check, &args);
        let bootstrap = args.bootstrap.clone().filter(|t| !t.trim().is_empty());
        let bootstrap = check.choice("bootstrap", &bootstrap, "true", &["true", "false"]);
        let keys = check.path("keys", &args.keys);
        check.required_for(RoleName::Control, &roles, "data", &args.data);
        let caller_role =
            if roles.contains(&RoleName::Gateway) { RoleName::Gateway } else { RoleName::Entry };
        check.required_for(caller_role, &roles, "callers", &args.callers);
        check.required_for(RoleName::Api, &roles, "api", &args.api);
        let api = check.address("api", &args.api);
        let budget = BudgetTerms {
            ratio: check.decimal("retry-ratio", &args.retry_ratio, DEFAULT_RETRY_RATIO),
            extra: check.decimal("retry-extra", &args.retry_extra, DEFAULT_RETRY_EXTRA),
            window: check.seconds("retry-window", &args.retry_window, DEFAULT_RETRY_WINDOW),
        };
        let domains = check_domains(&mut check, &args);
        let prefill_share = check.decimal("prefill-share", &args.prefill_share, 0.0);
        if prefill_share > MAX_PREFILL_SHARE {
            check.error(&format!("prefill-share: at most {MAX_PREFILL_SHARE} percent"));
        }
        let prefill_spare = check.decimal("prefill-spare", &args.prefill_spare, 0.0);
        let grace = check_grace(&mut check, &roles, &args);
        check.required_for(RoleName::Entry, &roles, "tenants", &args.tenants);
        if roles.contains(&RoleName::Api) && !roles.contains(&RoleName::Control) {
            check.error("roles: api needs control in the same process");
        }
        if roles.contains(&RoleName::Gateway) && roles.contains(&RoleName::Entry) {
            check
                .error("roles: gateway and entry both listen on --callers: start only one of them");
        }
        check.only_for(RoleName::Entry, &roles, "max-calls", &args.max_calls);
        check.only_for(RoleName::Entry, &roles, "max-connections", &args.max_connections);
        check.only_for(RoleName::Entry, &roles, "placement", &args.placement);
        let callers = check.address("callers", &args.callers);
        let pages = check.address("pages", &args.pages);
        if roles.contains(&RoleName::Agent) && args.pages.is_none() {
            check.error("pages: missing, and role agent needs it for announcements");
        }
        if callers.is_some() && callers == pages {
            check.error("pages: the same address as --callers: use two different ones");
        }
        let bounds = CallerBounds {
            calls: check.count("max-calls", &args.max_calls, DEFAULT_CALLS, MAX_OPEN),
            connections: check.count(
                "max-connections",
                &args.max_connections,
                DEFAULT_CONNECTIONS,
                MAX_OPEN,
            ),
        };
        let variants = Variant::ALL.map(Variant::as_str);
        let default = Variant::default().as_str();
        let placement = check.choice("placement", &args.placement, default, &variants);
        let memory = check.count("memory-mb", &args.memory_mb, DEFAULT_MEMORY_MB, MAX_OPEN);
        let max_fds = check.count("max-fds", &args.max_fds, DEFAULT_FDS, MAX_OPEN);
        let log = check.choice("log", &args.log, "info", &LOG_LEVELS);
        let format = check.choice("log-format", &args.log_format, "text", &["text", "json"]);
        let format = if format == "json" { LogFormat::Json } else { LogFormat::Text };
        let (Some(listen), []) = (listen, &*check.errors) else {
            return Err(SettingsError(check.errors));
        };
        Ok(Settings {
            roles,
            name,
            domain,
            listen,
            advertise: advertise.unwrap_or(listen),
            members,
            losses,
            bootstrap: bootstrap == "true",
            keys,
            data: args.data.map(PathBuf::from),
            callers,
            tenants: args.tenants.as_deref().map(Path::new).map(Into::into),
            bounds,
            placement: placement.parse().unwrap_or_default(),
            api,
            budget,
            domains,
            stages: StageTerms { share: prefill_share as u32, spare: prefill_spare as u32 },
            grace,
            pages,
            memory,
            max_fds,
            log: log.into(),
            format,
        })
    }
}

fn check_roles(check: &mut Checker, args: &DaemonArgs) -> BTreeSet<RoleName> {
    let text = check.text("roles", &args.roles);
    let mut roles = BTreeSet::new();
    for part in text.split(',').map(str::trim).filter(|_| !text.is_empty()) {
        match part.parse() {
            Ok(role) => {
                roles.insert(role);
            }
            Err(_) => {
                check.invalid("roles", part, "entry, agent, control, gateway, api, with commas")
            }
        }
    }
    if roles.len() > 1 && roles.contains(&RoleName::Agent) {
        check.error(
            "roles: agent goes with no other role: an agent process serves exactly one endpoint",
        );
    }
    roles
}

fn check_domains(check: &mut Checker, args: &DaemonArgs) -> DomainTerms {
    let default = DEFAULT_LATENCY.as_secs_f64() * 1_000.0;
    let latency = check.decimal("domain-latency", &args.domain_latency, default);
    let price = check.decimal("domain-price", &args.domain_price, 0.0);
    let given = args.domain_price.is_some();
    DomainTerms {
        latency: Duration::from_secs_f64(latency / 1_000.0),
        megabyte: given.then(|| Duration::from_secs_f64(price / 1_000_000.0)),
    }
}

fn check_grace(check: &mut Checker, roles: &BTreeSet<RoleName>, args: &DaemonArgs) -> Duration {
    let is_short = roles.contains(&RoleName::Gateway) || roles.contains(&RoleName::Api);
    let default = if is_short { DEFAULT_GRACE } else { DEFAULT_LONG_GRACE };
    let grace = check.seconds("grace", &args.grace, default);
    let (min, max) = GRACE_BOUNDS;
    if !grace.is_zero() && !(min..=max).contains(&grace) {
        let given = args.grace.as_deref().unwrap_or_default();
        check.invalid("grace", given, &format!("{} to {} seconds", min.as_secs(), max.as_secs()));
    }
    grace
}

/// Checks that other processes can reach this one.
fn check_reachable(check: &mut Checker, listen: Option<SocketAddr>, advertise: Option<SocketAddr>) {
    if let Some(address) = advertise.filter(|a| a.ip().is_unspecified()) {
        check.invalid("advertise", &address.to_string(), "an address that others can reach");
    }
    if listen.is_some_and(|l| l.ip().is_unspecified()) && advertise.is_none() {
        check.error(
            "advertise: missing, and others can't reach the unspecified address in --listen",
        );
    }
}

/// Returns how many control members may be lost at once; 0 and an empty text name no number.
fn check_losses(check: &mut Checker, args: &DaemonArgs) -> Option<usize> {
    let text = args.losses.as_deref().map(str::trim).filter(|t| !t.is_empty())?;
    let count = text.parse().ok().filter(|c| *c <= MAX_LOSSES);
    if count.is_none() {
        check.invalid("losses", text, &format!("a number from 0 to {MAX_LOSSES}"));
    }
    count.filter(|c| *c > 0)
}

fn check_members(check: &mut Checker, args: &DaemonArgs) -> Vec<SocketAddr> {
    let text = check.text("members", &args.members);
    let parts = text.split(',').filter(|_| !text.is_empty());
    let mut members: Vec<SocketAddr> =
        parts.filter_map(|m| check.parse_address("members", m)).collect();
    if let Some(port) = check.port("members-port", &args.members_port) {
        members.iter_mut().for_each(|m| m.set_port(port));
    }
    let distinct: BTreeSet<_> = members.iter().collect();
    if distinct.len() < members.len() {
        check.invalid("members", &text, "each address once");
    }
    if members.len() > MAX_MEMBERS {
        check.invalid("members", &text, &format!("at most {MAX_MEMBERS} addresses"));
    }
    members
}
