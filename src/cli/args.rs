//! The daemon's flags, their environment variables and the settings file.

use std::collections::BTreeMap;

use argh::FromArgs;

use super::settings::SettingsError;

/// The setting that names the settings file, which the file itself may not contain.
const SETTINGS_FILE: &str = "settings";

/// Routes requests to prefill and decode pools and plain services.
///
/// Each flag has an environment variable: --max-calls is DOTTERELPIN_MAX_CALLS.
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
    /// addresses of all control members, separated by commas
    #[argh(option)]
    pub members: Option<String>,
    /// control members that may be lost at once; a minority of --members if not given or 0
    #[argh(option)]
    pub losses: Option<String>,
    /// whether the control members have never run before, so that they found their group: true or
    /// false; true if not given
    #[argh(option)]
    pub bootstrap: Option<String>,
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
    /// calls that may be open at an entry; 8192 if not given
    #[argh(option)]
    pub max_calls: Option<String>,
    /// connections that callers may have open at an entry; 16384 if not given
    #[argh(option)]
    pub max_connections: Option<String>,
    /// variant of placement at an entry, from round-robin to prefix; health if not given
    #[argh(option)]
    pub placement: Option<String>,
    /// TCP address for health, readiness, metrics and announcements
    #[argh(option)]
    pub pages: Option<String>,
    /// TOML file with further settings, named like the flags with underscores
    #[argh(option)]
    pub settings: Option<String>,
    /// port of the control members, in place of the ports in --members
    #[argh(option)]
    pub members_port: Option<String>,
    /// TCP address for operators and endpoints of the api role
    #[argh(option)]
    pub api: Option<String>,
    /// retries for each call that the gateways may send together; 0.1 if not given
    #[argh(option)]
    pub retry_ratio: Option<String>,
    /// additional retries in a window, of all gateways together; 10 if not given
    #[argh(option)]
    pub retry_extra: Option<String>,
    /// window of the retry budget in seconds; 10 if not given
    #[argh(option)]
    pub retry_window: Option<String>,
    /// latency between two failure domains in milliseconds, one way; 1 if not given
    #[argh(option)]
    pub domain_latency: Option<String>,
    /// price of a megabyte sent to another failure domain, as microseconds that a call may take
    /// longer for it; if not given, a crossing costs fixed amounts of work
    #[argh(option)]
    pub domain_price: Option<String>,
    /// share of a pool's engines used for prefill, in percent; 0, the default, changes none
    #[argh(option)]
    pub prefill_share: Option<String>,
    /// additional engines of a pool used for prefill, as spares for crashes; 0 if not given
    #[argh(option)]
    pub prefill_spare: Option<String>,
    /// seconds after SIGTERM within which the process ends; 8 if not given with role gateway or
    /// api, otherwise 65
    #[argh(option)]
    pub grace: Option<String>,
    /// memory of the process's VM in MB, of which callers may take up a part; 256 if not given
    #[argh(option)]
    pub memory_mb: Option<String>,
    /// descriptors that the process may have open; 65536 if not given
    #[argh(option)]
    pub max_fds: Option<String>,
    /// log level: error, warn, info, debug or trace; info if not given
    #[argh(option)]
    pub log: Option<String>,
    /// log format: text or json; text if not given
    #[argh(option)]
    pub log_format: Option<String>,
}

impl DaemonArgs {
    /// Fills flags that are not given from environment variables.
    ///
    /// ```
    /// use dotterelpin::cli::settings::DaemonArgs;
    ///
    /// let args = DaemonArgs::default()
    ///     .with_environment(|name| (name == "DOTTERELPIN_NAME").then(|| "brno-1".to_string()));
    /// assert_eq!(args.name.as_deref(), Some("brno-1"));
    /// ```
    pub fn with_environment(mut self, variable: impl Fn(&str) -> Option<String>) -> DaemonArgs {
        for (name, field) in self.fields() {
            if field.is_none() {
                *field = variable(&format!("DOTTERELPIN_{}", name.to_uppercase()));
            }
        }
        self
    }

    /// Fills flags that are not given from the text of a TOML settings file.
    ///
    /// ```
    /// use dotterelpin::cli::settings::DaemonArgs;
    ///
    /// let text = "name = 'brno-1'\nmembers = ['10.0.0.1:7000', '10.0.0.2:7000']";
    /// let args = DaemonArgs::default().with_file(text).unwrap();
    /// assert_eq!(args.members.as_deref(), Some("10.0.0.1:7000,10.0.0.2:7000"));
    /// assert!(DaemonArgs::default().with_file("nmae = 'brno-1'").is_err());
    /// ```
    pub fn with_file(mut self, text: &str) -> Result<DaemonArgs, SettingsError> {
        let unreadable = |e: toml::de::Error| SettingsError(vec![format!("settings: {e}")]);
        let table: toml::Table = toml::from_str(text).map_err(unreadable)?;
        let mut errors = Vec::new();
        let fields = self.fields().into_iter().filter(|(name, _)| *name != SETTINGS_FILE);
        let mut fields: BTreeMap<&str, &mut Option<String>> = fields.collect();
        for (name, value) in &table {
            let Some(field) = fields.get_mut(name.as_str()) else {
                errors.push(format!("settings: unknown setting {name}"));
                continue;
            };
            match plain_text(value) {
                Some(text) if field.is_none() => **field = Some(text),
                Some(_) => {}
                None => errors.push(format!(
                    "settings: {name}: expected a string, a number or a list of them"
                )),
            }
        }
        if errors.is_empty() { Ok(self) } else { Err(SettingsError(errors)) }
    }

    /// Returns the names, as in the file, of the settings that differ in other arguments.
    ///
    /// ```
    /// use dotterelpin::cli::settings::DaemonArgs;
    ///
    /// let args = DaemonArgs { log: Some("warn".into()), ..DaemonArgs::default() };
    /// assert_eq!(DaemonArgs::default().changed_to(&args), ["log"]);
    /// ```
    pub fn changed_to(&self, other: &DaemonArgs) -> Vec<&'static str> {
        let (mut before, mut after) = (self.clone(), other.clone());
        let pairs = before.fields().into_iter().zip(after.fields());
        let differs = pairs.filter(|((_, before), (_, after))| before != after);
        differs.map(|((name, _), _)| name).collect()
    }

    /// Returns the settings with their names in the file and, in upper case, in the environment.
    fn fields(&mut self) -> [(&'static str, &mut Option<String>); 31] {
        [
            ("roles", &mut self.roles),
            (SETTINGS_FILE, &mut self.settings),
            ("name", &mut self.name),
            ("domain", &mut self.domain),
            ("listen", &mut self.listen),
            ("advertise", &mut self.advertise),
            ("members", &mut self.members),
            ("members_port", &mut self.members_port),
            ("losses", &mut self.losses),
            ("bootstrap", &mut self.bootstrap),
            ("keys", &mut self.keys),
            ("data", &mut self.data),
            ("callers", &mut self.callers),
            ("api", &mut self.api),
            ("tenants", &mut self.tenants),
            ("max_calls", &mut self.max_calls),
            ("max_connections", &mut self.max_connections),
            ("placement", &mut self.placement),
            ("retry_ratio", &mut self.retry_ratio),
            ("retry_extra", &mut self.retry_extra),
            ("retry_window", &mut self.retry_window),
            ("domain_latency", &mut self.domain_latency),
            ("domain_price", &mut self.domain_price),
            ("prefill_share", &mut self.prefill_share),
            ("prefill_spare", &mut self.prefill_spare),
            ("grace", &mut self.grace),
            ("pages", &mut self.pages),
            ("memory_mb", &mut self.memory_mb),
            ("max_fds", &mut self.max_fds),
            ("log", &mut self.log),
            ("log_format", &mut self.log_format),
        ]
    }
}

/// Returns a value of a settings file as the text of a flag; None for other types of values.
fn plain_text(value: &toml::Value) -> Option<String> {
    match value {
        toml::Value::String(text) => Some(text.clone()),
        toml::Value::Integer(number) => Some(number.to_string()),
        toml::Value::Float(number) => Some(number.to_string()),
        toml::Value::Array(list) => {
            let parts: Option<Vec<String>> = list.iter().map(plain_text).collect();
            parts.map(|p| p.join(","))
        }
        _ => None,
    }
}
