//! The daemon's flags with their environment variables, and the checked settings.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

/// A role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RoleName {
    /// Takes callers' requests.
    Entry,
    /// Stands before an endpoint.
    Agent,
    /// Keeps the log.
    Control,
}

/// Routes requests to prefill and decode pools and plain services.
///
/// Each flag has an environment variable: --callers is DOTTERELPIN_CALLERS.
#[derive(Debug, Clone, Default, PartialEq, Eq, FromArgs)]
pub struct DaemonArgs {
    /// roles of this process, such as entry,control
    #[argh(option)]
    pub roles: Option<String>,
    /// name of this process, unique in the fleet
    #[argh(option)]
    pub name: Option<String>,
    /// failure domain of this process
    #[argh(option)]
    pub domain: Option<String>,
    /// UDP address for other processes, such as 10.0.0.1:7000
    #[argh(option)]
    pub listen: Option<String>,
    /// address at which other processes reach this one; the listen address if not given
    #[argh(option)]
    pub advertise: Option<String>,
    /// addresses of all control members, with commas
    #[argh(option)]
    pub members: Option<String>,
    /// folder of the fleet key
    #[argh(option)]
    pub keys: Option<String>,
    /// data folder of a control member
    #[argh(option)]
    pub data: Option<String>,
    /// TCP address for callers of an entry
    #[argh(option)]
    pub callers: Option<String>,
    /// file of tenants' credentials for an entry
    #[argh(option)]
    pub tenants: Option<String>,
    /// TCP address for health, readiness and announcements
    #[argh(option)]
    pub pages: Option<String>,
    /// log level: error, warn, info, debug or trace
    #[argh(option)]
    pub log: Option<String>,
}

impl DaemonArgs {
    /// Fills flags that are not given from the environment.
    ///
    /// ```
    /// use dotterelpin::cli::settings::DaemonArgs;
    ///
    /// let args = DaemonArgs::default()
    ///     .with_environment(|name| (name == "DOTTERELPIN_NAME").then(|| "brno-1".to_string()));
    /// assert_eq!(args.name.as_deref(), Some("brno-1"));
    /// ```
    pub fn with_environment(mut self, variable: impl Fn(&str) -> Option<String>) -> DaemonArgs {
        let fields = [
            ("DOTTERELPIN_ROLES", &mut self.roles),
            ("DOTTERELPIN_NAME", &mut self.name),
            ("DOTTERELPIN_DOMAIN", &mut self.domain),
            ("DOTTERELPIN_LISTEN", &mut self.listen),
            ("DOTTERELPIN_ADVERTISE", &mut self.advertise),
            ("DOTTERELPIN_MEMBERS", &mut self.members),
            ("DOTTERELPIN_KEYS", &mut self.keys),
            ("DOTTERELPIN_DATA", &mut self.data),
            ("DOTTERELPIN_CALLERS", &mut self.callers),
            ("DOTTERELPIN_TENANTS", &mut self.tenants),
            ("DOTTERELPIN_PAGES", &mut self.pages),
            ("DOTTERELPIN_LOG", &mut self.log),
        ];
        for (name, field) in fields {
            if field.is_none() {
                *field = variable(name);
            }
        }
        self
    }
}

/// Everything that a daemon needs to know, checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The roles.
    pub roles: BTreeSet<RoleName>,
    /// The name.
    pub name: Box<str>,
    /// The failure domain.
    pub domain: Box<str>,
    /// The address for other processes.
    pub listen: SocketAddr,
    /// The address at which other processes reach this one.
    pub advertise: SocketAddr,
    /// The control members.
    pub members: Vec<SocketAddr>,
    /// The folder of the fleet key.
    pub keys: PathBuf,
    /// The data folder, for control.
    pub data: Option<PathBuf>,
    /// The callers' address, for an entry.
    pub callers: Option<SocketAddr>,
    /// The tenants' file, for an entry.
    pub tenants: Option<PathBuf>,
    /// The address of the pages.
    pub pages: Option<SocketAddr>,
    /// The log level.
    pub log: Box<str>,
}

/// All that is wrong with the flags, one line each.
#[derive(Debug, PartialEq, Eq)]
pub struct SettingsError(Vec<String>);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0.join("\n"))
    }
}

impl std::error::Error for SettingsError {}

/// Collects errors while fields are checked.
#[derive(Default)]
struct Checker {
    errors: Vec<String>,
}

impl Checker {
    fn text(&mut self, flag: &str, value: &Option<String>) -> Box<str> {
        match value.as_deref().map(str::trim) {
            Some(text) if !text.is_empty() => text.into(),
            _ => {
                self.errors.push(format!("--{flag}: missing"));
                "".into()
            }
        }
    }

    fn address(&mut self, flag: &str, text: &str) -> Option<SocketAddr> {
        let address = text.trim().parse().ok();
        if address.is_none() {
            self.errors.push(format!("--{flag}: {text:?} is no IP:PORT, such as 127.0.0.1:7000"));
        }
        address
    }

    fn role(&mut self, text: &str) -> Option<RoleName> {
        match text.trim() {
            "entry" => Some(RoleName::Entry),
            "agent" => Some(RoleName::Agent),
            "control" => Some(RoleName::Control),
            other => {
                self.errors.push(format!("--roles: {other:?} is none of entry, agent, control"));
                None
            }
        }
    }

    fn needs(&mut self, role: RoleName, roles: &BTreeSet<RoleName>, flag: &str, given: bool) {
        let name = format!("{role:?}").to_lowercase();
        if roles.contains(&role) && !given {
            self.errors.push(format!("--{flag}: missing, and role {name} needs it"));
        }
        if !roles.contains(&role) && given {
            self.errors.push(format!("--{flag}: given, but only role {name} uses it"));
        }
    }
}

impl TryFrom<DaemonArgs> for Settings {
    type Error = SettingsError;

    fn try_from(args: DaemonArgs) -> Result<Settings, SettingsError> {
        let mut check = Checker::default();
        let roles_text = check.text("roles", &args.roles);
        let roles: BTreeSet<RoleName> = if roles_text.is_empty() {
            BTreeSet::new()
        } else {
            roles_text.split(',').filter_map(|r| check.role(r)).collect()
        };
        if roles.contains(&RoleName::Agent) && roles.contains(&RoleName::Entry) {
            check.errors.push("--roles: entry and agent do not go together".into());
        }
        let name = check.text("name", &args.name);
        let domain = check.text("domain", &args.domain);
        let listen_text = check.text("listen", &args.listen);
        let listen = check.address("listen", &listen_text);
        let advertise = args.advertise.as_deref().and_then(|a| check.address("advertise", a));
        let members_text = check.text("members", &args.members);
        let members: Vec<SocketAddr> =
            members_text.split(',').filter_map(|m| check.address("members", m)).collect();
        let keys = PathBuf::from(&*check.text("keys", &args.keys));
        check.needs(RoleName::Control, &roles, "data", args.data.is_some());
        check.needs(RoleName::Entry, &roles, "callers", args.callers.is_some());
        check.needs(RoleName::Entry, &roles, "tenants", args.tenants.is_some());
        let callers = args.callers.as_deref().and_then(|a| check.address("callers", a));
        let pages = args.pages.as_deref().and_then(|a| check.address("pages", a));
        if roles.contains(&RoleName::Agent) && args.pages.is_none() {
            check.errors.push("--pages: missing, and role agent needs it".into());
        }
        let log: Box<str> = args.log.as_deref().unwrap_or("info").into();
        if !["error", "warn", "info", "debug", "trace"].contains(&&*log) {
            check.errors.push(format!("--log: {log:?} is none of error, warn, info, debug, trace"));
        }
        match listen {
            Some(listen) if check.errors.is_empty() => Ok(Settings {
                roles,
                name,
                domain,
                listen,
                advertise: advertise.unwrap_or(listen),
                members,
                keys,
                data: args.data.map(PathBuf::from),
                callers,
                tenants: args.tenants.map(PathBuf::from),
                pages,
                log,
            }),
            _ => Err(SettingsError(check.errors)),
        }
    }
}
