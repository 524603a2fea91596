//! The operators' tool.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use argh::FromArgs;
use eyre::{WrapErr, bail, eyre};
use serde_json::json;

use crate::control::config::{Change, Edit, Exception, Revised};
use crate::control::state::{Applied, ChangeReply, Command};
use crate::link::message::{ControlReply, ControlRequest, Envelope, Reply, Request, Status};
use crate::link::tls::{Identity, make_keys};
use crate::link::{Link, LinkAction, LinkEvent, LinkHandle, Sink};
use crate::model::{ExchangeId, Revision, Timestamp};

/// How long one control member may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How often all members are tried.
const ROUNDS: usize = 4;
/// The time between two looks of `config watch`.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);

/// Shows and steers a fleet of dotterelpin processes.
#[derive(Debug, FromArgs)]
pub struct ToolArgs {
    /// addresses of control members, with commas (DOTTERELPIN_MEMBERS)
    #[argh(option)]
    pub members: Option<String>,
    /// folder of the fleet key (DOTTERELPIN_KEYS)
    #[argh(option)]
    pub keys: Option<String>,
    /// print JSON for programs
    #[argh(switch)]
    pub json: bool,
    /// what to do
    #[argh(subcommand)]
    pub task: Task,
}

/// What to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Task {
    /// Make a fleet key.
    Keys(KeysArgs),
    /// Show processes and endpoints.
    Status(StatusArgs),
    /// Show and change the configuration.
    Config(ConfigArgs),
}

/// Makes a fleet key in a new folder.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "keys")]
pub struct KeysArgs {
    /// the folder
    #[argh(positional)]
    pub folder: PathBuf,
}

/// Shows processes and endpoints.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {}

/// Shows and changes the configuration.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "config")]
pub struct ConfigArgs {
    /// what to do
    #[argh(subcommand)]
    pub task: ConfigTask,
}

/// What to do with the configuration.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum ConfigTask {
    /// Show it.
    Show(ShowArgs),
    /// Set a default.
    Set(SetArgs),
    /// Make an exception.
    Except(ExceptArgs),
    /// Drop an exception.
    Drop(DropArgs),
    /// Wait until all processes have it in force.
    Watch(WatchArgs),
}

/// Shows the configuration.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ShowArgs {}

/// Sets a default for the whole fleet.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "set")]
pub struct SetArgs {
    /// the setting
    #[argh(positional)]
    pub name: String,
    /// the value
    #[argh(positional)]
    pub value: String,
    /// who asks
    #[argh(option)]
    pub author: String,
    /// revision that the change is based on; the newest if not given
    #[argh(option)]
    pub base: Option<u64>,
    /// name of the change, to send the same change again safely
    #[argh(option)]
    pub id: Option<String>,
}

/// Makes an exception, with a written reason.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "except")]
pub struct ExceptArgs {
    /// what it applies to: tenant:NAME, pool:NAME or class:NAME
    #[argh(positional)]
    pub scope: String,
    /// the setting
    #[argh(positional)]
    pub name: String,
    /// the value
    #[argh(positional)]
    pub value: String,
    /// who asks
    #[argh(option)]
    pub author: String,
    /// why
    #[argh(option)]
    pub reason: String,
    /// revision that the change is based on; the newest if not given
    #[argh(option)]
    pub base: Option<u64>,
    /// name of the change, to send the same change again safely
    #[argh(option)]
    pub id: Option<String>,
}

/// Drops an exception.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drop")]
pub struct DropArgs {
    /// what it applied to
    #[argh(positional)]
    pub scope: String,
    /// the setting
    #[argh(positional)]
    pub name: String,
    /// who asks
    #[argh(option)]
    pub author: String,
    /// revision that the change is based on; the newest if not given
    #[argh(option)]
    pub base: Option<u64>,
    /// name of the change, to send the same change again safely
    #[argh(option)]
    pub id: Option<String>,
}

/// Waits until all live processes have a revision in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "watch")]
pub struct WatchArgs {
    /// the revision; the newest if not given
    #[argh(option)]
    pub revision: Option<u64>,
    /// seconds to wait
    #[argh(option, default = "8")]
    pub timeout: u64,
}

/// Runs the tool.
pub fn run(args: ToolArgs) -> eyre::Result<()> {
    if let Task::Keys(keys) = &args.task {
        return make_keys(&keys.folder);
    }
    let client = Client::new(&args)?;
    match args.task {
        Task::Keys(_) => Ok(()),
        Task::Status(_) => print_status(&client.status()?, args.json),
        Task::Config(config) => match config.task {
            ConfigTask::Show(_) => print_config(&client.status()?, args.json),
            ConfigTask::Set(set) => {
                let edit = Edit::Set { name: set.name.into(), value: set.value.into() };
                client.change(edit, set.author, set.base, set.id, args.json)
            }
            ConfigTask::Except(except) => {
                let exception = Exception {
                    value: except.value.into(),
                    author: except.author.as_str().into(),
                    reason: except.reason.into(),
                };
                let scope = except.scope.parse()?;
                let edit = Edit::Except { scope, name: except.name.into(), exception };
                client.change(edit, except.author, except.base, except.id, args.json)
            }
            ConfigTask::Drop(drop) => {
                let edit = Edit::Drop { scope: drop.scope.parse()?, name: drop.name.into() };
                client.change(edit, drop.author, drop.base, drop.id, args.json)
            }
            ConfigTask::Watch(watch) => client.watch(watch),
        },
    }
}

struct Events(Sender<LinkEvent>);

impl Sink for Events {
    fn deliver(&self, event: LinkEvent) {
        let _ = self.0.send(event);
    }
}

/// Asks control members.
struct Client {
    members: Vec<SocketAddr>,
    link: LinkHandle,
    owner: u64,
    events: Receiver<LinkEvent>,
    last: std::cell::Cell<u64>,
}

impl Client {
    fn new(args: &ToolArgs) -> eyre::Result<Client> {
        let value = |flag: &str, given: &Option<String>, name: &str| {
            given
                .clone()
                .or_else(|| std::env::var(name).ok())
                .ok_or_else(|| eyre!("--{flag}: missing, and {name} is not set"))
        };
        let members = value("members", &args.members, "DOTTERELPIN_MEMBERS")?
            .split(',')
            .map(|m| m.trim().parse().wrap_err_with(|| format!("--members: {m:?} is no IP:PORT")))
            .collect::<eyre::Result<Vec<SocketAddr>>>()?;
        let keys = value("keys", &args.keys, "DOTTERELPIN_KEYS")?;
        let identity = Identity::load(keys.as_ref())?;
        let local = if members.iter().all(|m| m.is_ipv4()) { "0.0.0.0:0" } else { "[::]:0" };
        let link = Link::bind(local.parse()?, identity)?;
        let handle = link.handle();
        let (sender, events) = channel();
        let owner = handle.register(Arc::new(Events(sender)));
        link.start(Arc::new(|_| None))?;
        Ok(Client { members, link: handle, owner, events, last: std::cell::Cell::new(0) })
    }

    /// Asks members in turn until one answers; a request must be safe to send again.
    fn ask(&self, request: ControlRequest) -> eyre::Result<ControlReply> {
        let mut problem = eyre!("no control member is named");
        let mut next = None;
        for round in 0..ROUNDS * self.members.len() {
            let peer = next.take().unwrap_or(self.members[round % self.members.len()]);
            match self.ask_one(peer, request.clone()) {
                Ok(ControlReply::NotLeader { leader } | ControlReply::Interrupted { leader }) => {
                    problem = eyre!("step=ask peer={peer}: the member does not lead");
                    next = leader;
                    std::thread::sleep(WATCH_INTERVAL);
                }
                Ok(reply) => return Ok(reply),
                Err(error) => problem = error,
            }
        }
        Err(problem)
    }

    fn ask_one(&self, peer: SocketAddr, request: ControlRequest) -> eyre::Result<ControlReply> {
        let exchange = ExchangeId(self.last.get() + 1);
        self.last.set(exchange.0);
        let envelope = Envelope { revised: Revised::default(), body: Request::Control(request) };
        self.link.act(LinkAction::Open { owner: self.owner, exchange, peer, envelope });
        let until = Instant::now() + ANSWER_TIMEOUT;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let event = self.events.recv_timeout(left).map_err(|_| {
                self.link.act(LinkAction::Redial { peer });
                eyre!("step=ask peer={peer}: no answer in {ANSWER_TIMEOUT:?}")
            })?;
            match event {
                LinkEvent::Reply { exchange: e, envelope } if e == exchange => {
                    if let Reply::Control(reply) = envelope.body {
                        return Ok(reply);
                    }
                }
                LinkEvent::Closed { exchange: e, failure } if e == exchange => {
                    bail!("step=ask peer={peer}: the exchange broke ({failure:?})");
                }
                _ => {}
            }
        }
    }

    fn status(&self) -> eyre::Result<Status> {
        match self.ask(ControlRequest::Status)? {
            ControlReply::Status(status) => Ok(*status),
            other => bail!("control answered {other:?} to a status request"),
        }
    }

    fn change(
        &self,
        edit: Edit,
        author: String,
        base: Option<u64>,
        id: Option<String>,
        json: bool,
    ) -> eyre::Result<()> {
        let base = match base {
            Some(base) => Revision(base),
            None => self.status()?.config.revision,
        };
        let id = id.unwrap_or_else(|| format!("{author}-{}", Timestamp::from_system().as_micros()));
        let change = Change { id: id.as_str().into(), base, author: author.into(), edit };
        let command = Command::Change(change);
        let reply = self.ask(ControlRequest::Propose(command)).wrap_err_with(|| {
            format!("the change may be accepted or not; send it again with --id {id} --base {base}")
        })?;
        match reply {
            ControlReply::Applied(Applied::Changed(ChangeReply::Accepted(revision))) => {
                if json {
                    println!("{}", json!({ "revision": revision.0, "id": id }));
                } else {
                    println!("accepted: revision {revision}, change {id}");
                }
                Ok(())
            }
            ControlReply::Applied(Applied::Changed(ChangeReply::Conflict { current, winner })) => {
                let winner = winner.map_or_else(String::new, |w| format!(": {w:?}"));
                bail!("refused: revision {current} stands, not {base}; another change won{winner}")
            }
            ControlReply::Applied(Applied::Changed(ChangeReply::Refused(why))) => {
                bail!("refused: {why}")
            }
            other => bail!("control answered {other:?} to a change"),
        }
    }

    fn watch(&self, args: WatchArgs) -> eyre::Result<()> {
        let until = Instant::now() + Duration::from_secs(args.timeout);
        let target = match args.revision {
            Some(revision) => Revision(revision),
            None => self.status()?.config.revision,
        };
        let mut seen = std::collections::BTreeSet::new();
        loop {
            let status = self.status()?;
            let mut behind = Vec::new();
            for (process, _) in &status.processes {
                let name = format!("{} ({})", process.name, process.role);
                if process.revised.revision < target {
                    behind.push(name);
                } else if seen.insert(name.clone()) {
                    println!("in force: {} {name}", process.revised);
                }
            }
            if behind.is_empty() {
                return Ok(());
            }
            if Instant::now() >= until {
                bail!("revision {target} is not in force at {}", behind.join(", "));
            }
            std::thread::sleep(WATCH_INTERVAL);
        }
    }
}

fn print_config(status: &Status, json: bool) -> eyre::Result<()> {
    let config = &status.config;
    if json {
        let exceptions: Vec<_> = config
            .exceptions
            .iter()
            .map(|((scope, name), e)| {
                json!({ "scope": scope.to_string(), "name": name, "value": e.value,
                        "author": e.author, "reason": e.reason })
            })
            .collect();
        println!(
            "{}",
            json!({ "revision": config.revision.0, "defaults": config.defaults,
                    "exceptions": exceptions })
        );
        return Ok(());
    }
    println!("revision {}", config.revised());
    for (name, value) in &config.defaults {
        println!("default {name} = {value}");
    }
    for ((scope, name), e) in &config.exceptions {
        println!("exception {scope} {name} = {} ({}: {})", e.value, e.author, e.reason);
    }
    Ok(())
}

fn print_status(status: &Status, json: bool) -> eyre::Result<()> {
    if json {
        println!(
            "{}",
            serde_json::to_string(&json!({
                "member": status.member,
                "leader": status.leader,
                "revision": status.config.revision.0,
                "processes": status.processes.iter().map(|(p, age)| json!({
                    "name": p.name, "role": p.role, "domain": p.domain,
                    "revision": p.revised.revision.0, "age_ms": age.as_millis() as u64,
                })).collect::<Vec<_>>(),
                "endpoints": status.endpoints,
            }))?
        );
        return Ok(());
    }
    println!("member {} leader {}", status.member, status.leader.as_deref().unwrap_or("unknown"));
    println!("configuration {}", status.config.revised());
    for (process, age) in &status.processes {
        println!(
            "process {} role {} domain {} revision {} heard {} ms ago",
            process.name,
            process.role,
            process.domain,
            process.revised,
            age.as_millis()
        );
    }
    for endpoint in &status.endpoints {
        println!(
            "endpoint {} {} pool {} domain {} slots {}/{} pieces {}/{}{}",
            endpoint.name,
            endpoint.kind.as_str(),
            endpoint.pool,
            endpoint.domain,
            endpoint.load.slots,
            endpoint.capacity.slots,
            endpoint.load.pieces,
            endpoint.capacity.pieces,
            if endpoint.draining { " draining" } else { "" }
        );
    }
    Ok(())
}
