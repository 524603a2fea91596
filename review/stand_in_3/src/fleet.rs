//! The project's own programs as processes of a small deployment on loopback addresses.

use std::collections::BTreeMap;
use std::fs;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;

/// The bounds of `sites/tabulka-brno.toml` that the deploy file uses.
const BOUNDS: [(&str, &str); 4] = [
    ("{{bounds.retryBudgetRatio}}", "0.2"),
    ("{{bounds.budgetExtraRetries}}", "52"),
    ("{{bounds.budgetWindowS}}", "10"),
    ("{{bounds.graceS}}", "8"),
];

/// The ports, which are the same on all machines.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub internal: u16,
    pub frontend: u16,
    pub ready: u16,
    pub control: u16,
    pub app: u16,
}

/// A machine with one process.
pub struct Machine {
    pub name: String,
    pub role: &'static str,
    pub zone: &'static str,
    pub ip: IpAddr,
    child: Option<Child>,
}

/// The machines of a deployment.
pub struct Fleet {
    repository: PathBuf,
    pub folder: PathBuf,
    pub ports: Ports,
    net: (u8, u8),
    pub machines: BTreeMap<String, Machine>,
    /// The names of the machines in `seeds`.
    pub seeds: Vec<String>,
    pub losses: u32,
}

const ZONES: [&str; 3] = ["brno-a", "brno-b", "zlin-c"];

impl Fleet {
    /// Finds free addresses and ports for a fleet.
    pub fn new(repository: &Path) -> std::io::Result<Fleet> {
        let id = std::process::id();
        let net = (64 + (id >> 8 & 0x3f) as u8, (id & 0xff) as u8);
        let folder = std::env::temp_dir().join(format!("review-3-{id}"));
        fs::create_dir_all(&folder)?;
        let base = (0..200)
            .map(|n| 20_000 + ((id as u16).wrapping_mul(7) % 500) * 40 + n * 40)
            .find(|base| {
                (0..5).all(|p| {
                    TcpListener::bind((IpAddr::from([127, net.0, net.1, 1]), base + p)).is_ok()
                })
            })
            .ok_or_else(|| std::io::Error::other("no free ports"))?;
        let ports = Ports {
            internal: base,
            frontend: base + 1,
            ready: base + 2,
            control: base + 3,
            app: base + 4,
        };
        let machines = BTreeMap::new();
        let repository = repository.to_path_buf();
        Ok(Fleet { repository, folder, ports, net, machines, seeds: Vec::new(), losses: 1 })
    }

    /// Returns the address of a machine by its number.
    pub fn ip(&self, number: u8) -> IpAddr {
        IpAddr::from([127, self.net.0, self.net.1, number])
    }

    /// Adds a machine that runs nothing yet; `role` is one of the deploy file.
    pub fn add(&mut self, name: &str, role: &'static str, number: u8) {
        let zone = ZONES[usize::from(number) % 3];
        let machine = Machine { name: name.into(), role, zone, ip: self.ip(number), child: None };
        self.machines.insert(name.into(), machine);
    }

    fn settings(&self, machine: &Machine, bootstrap: bool) -> String {
        let Ports { internal, frontend, ready, control, .. } = self.ports;
        let ip = machine.ip;
        let seeds: Vec<String> =
            self.seeds.iter().map(|s| format!("{}:{control}", self.machines[s].ip)).collect();
        let mut text = format!(
            "name = \"{}\"\ndomain = \"{}\"\nlisten = \"{ip}:{internal}\"\nmembers = \"{}\"\n\
             members_port = \"{internal}\"\nkeys = \"target/fleet-key\"\nlosses = \"{}\"\n\
             bootstrap = \"{bootstrap}\"\n",
            machine.name,
            machine.zone,
            seeds.join(","),
            self.losses,
        );
        match machine.role {
            "gateway" => {
                text += &format!("callers = \"{ip}:{frontend}\"\npages = \"{ip}:{ready}\"\n");
                text += "memory_mb = 110\nmax_fds = 4100\n";
            }
            _ => {
                let data = self.folder.join(format!("{}-data", machine.name));
                text += &format!("data = \"{}\"\napi = \"{ip}:{control}\"\n", data.display());
                text += "memory_mb = 256\nmax_fds = 4096\n";
            }
        }
        text
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start(&mut self, name: &str, bootstrap: bool) -> std::io::Result<()> {
        let machine = &self.machines[name];
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, self.settings(machine, bootstrap))?;
        let deploy = fs::read_to_string(self.repository.join("deploy/system.toml"))?;
        let section = format!("[roles.{}]", machine.role);
        let after = deploy.split(&section).nth(1).unwrap_or_default();
        let run = after.lines().find_map(|l| l.strip_prefix("run = \"")).unwrap_or_default();
        let mut run = run.trim_end_matches('"').to_string();
        BOUNDS.iter().for_each(|(from, to)| run = run.replace(from, to));
        run = run.replace("/etc/dotterelpin/settings.toml", &path.display().to_string());
        let words: Vec<&str> = run.split(' ').collect();
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))?;
        let child = Command::new(words[0])
            .args(&words[1..])
            .current_dir(&self.repository)
            .env_clear()
            .envs(std::env::vars().filter(|(n, _)| n == "PATH" || n == "HOME" || n == "LANG"))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.machines.get_mut(name).expect("a machine").child = Some(child);
        Ok(())
    }

    /// Returns the id of a machine's process.
    pub fn pid(&self, name: &str) -> Option<u32> {
        self.machines[name].child.as_ref().map(Child::id)
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&mut self, name: &str, signal: &str) {
        // The id of a process that has ended may be that of another one by now.
        if self.has_ended(name) {
            return;
        }
        if let Some(pid) = self.pid(name) {
            let _ = Command::new("sh").args(["-c", &format!("kill {signal} {pid}")]).status();
        }
    }

    /// Kills the process of a machine.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.machines.get_mut(name).and_then(|m| m.child.take()) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process of a machine has ended by itself.
    pub fn has_ended(&mut self, name: &str) -> bool {
        let child = self.machines.get_mut(name).and_then(|m| m.child.as_mut());
        child.is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
    }

    /// Waits until the process of a machine has ended; returns whether it has in time.
    pub fn wait_end(&mut self, name: &str, wait: Duration) -> bool {
        let since = Instant::now();
        while since.elapsed() < wait {
            if self.has_ended(name) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn frontend(&self, name: &str) -> SocketAddr {
        SocketAddr::new(self.machines[name].ip, self.ports.frontend)
    }

    pub fn app(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(number), self.ports.app)
    }

    /// Returns the addresses for the calls of runners and of the operator.
    pub fn controls(&self) -> Vec<SocketAddr> {
        let core = self.machines.values().filter(|m| m.role == "control");
        core.map(|m| SocketAddr::new(m.ip, self.ports.control)).collect()
    }

    /// Asks the machines whether they are ready until all are, or the time is over.
    pub fn wait_ready(&self, names: &[&str], wait: Duration) -> bool {
        let since = Instant::now();
        let is_ready = |name: &&str| {
            let at = SocketAddr::new(self.machines[*name].ip, self.ports.ready);
            http::call(at, "GET", "/readyz", "", Duration::from_millis(500))
                .is_ok_and(|(status, _)| status == 200)
        };
        while since.elapsed() < wait {
            if names.iter().all(is_ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends a configuration until it is acknowledged; returns the last status.
    pub fn publish(&self, text: &str, wait: Duration) -> u16 {
        let since = Instant::now();
        let mut last = 0;
        while since.elapsed() < wait {
            for at in self.controls() {
                let sent = http::call(at, "POST", "/config/replace", text, Duration::from_secs(1));
                last = sent.map_or(0, |(status, _)| status);
                if last == 200 || (400..500).contains(&last) {
                    return last;
                }
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        last
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for name in self.machines.keys().cloned().collect::<Vec<_>>() {
            self.signal(&name, "-CONT");
            self.kill(&name);
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
