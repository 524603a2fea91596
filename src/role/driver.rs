//! The driver that runs one role on a thread of its own.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread::JoinHandle;
use std::time::Duration;

use eyre::WrapErr;
use prometheus::Histogram;

use super::{Input, LocalOutput, Output, Role};
use crate::link::{LinkEvent, LinkHandle, Sink};
use crate::model::Timestamp;
use crate::report::metrics::Metrics;

/// The longest time between two steps of a role, also without input or deadline.
const IDLE_WAIT: Duration = Duration::from_secs(1);

/// Executes the effects of a role, such as calls to an engine or writes to a disk.
pub trait Adapter<E>: Send {
    /// Executes one effect without blocking the role's thread for long.
    fn execute(&mut self, effect: E);
}

/// An input in the queue of a driver.
pub type Event<L> = Input<L>;

/// The sending side of a driver's queue of inputs.
#[derive(Debug)]
pub struct DriverHandle<L> {
    queue: Sender<Event<L>>,
    depth: Arc<AtomicUsize>,
}

impl<L> Clone for DriverHandle<L> {
    fn clone(&self) -> Self {
        DriverHandle { queue: self.queue.clone(), depth: self.depth.clone() }
    }
}

impl<L> DriverHandle<L> {
    /// Queues an input; it is dropped if the role has stopped.
    pub fn send(&self, event: Event<L>) {
        self.depth.fetch_add(1, Ordering::SeqCst);
        if self.queue.send(event).is_err() {
            self.depth.fetch_sub(1, Ordering::SeqCst);
        }
    }

    /// Returns the number of queued inputs.
    pub fn depth(&self) -> usize {
        self.depth.load(Ordering::SeqCst)
    }

    /// Queues a local input, such as a reply of an engine.
    pub fn local(&self, local: L) {
        self.send(Input::Local(local));
    }
}

impl<L: Send> Sink for DriverHandle<L> {
    fn deliver(&self, event: LinkEvent) {
        self.send(Input::from(event));
    }

    fn depth(&self) -> usize {
        DriverHandle::depth(self)
    }
}

impl<L> From<LinkEvent> for Input<L> {
    fn from(event: LinkEvent) -> Input<L> {
        match event {
            LinkEvent::Request { inbound, envelope } => Input::Request { inbound, envelope },
            LinkEvent::Abandoned { inbound } => Input::Abandoned { inbound },
            LinkEvent::Reply { exchange, envelope } => Input::Reply { exchange, envelope },
            LinkEvent::Closed { exchange, failure } => Input::Closed { exchange, failure },
        }
    }
}

/// Runs a role on a thread of its own until the role reports [`Output::Stopped`].
pub struct Driver<L> {
    queue: Receiver<Event<L>>,
    handle: DriverHandle<L>,
}

impl<L: Send + 'static> Default for Driver<L> {
    fn default() -> Self {
        Driver::new()
    }
}

impl<L: Send + 'static> Driver<L> {
    /// Creates a driver; handles can be shared before the role starts.
    pub fn new() -> Driver<L> {
        let (sender, queue) = channel();
        Driver { queue, handle: DriverHandle { queue: sender, depth: Arc::default() } }
    }

    /// Returns a handle for sending inputs to the role.
    pub fn handle(&self) -> DriverHandle<L> {
        self.handle.clone()
    }

    /// Registers the role at the link and starts its thread; `name` names both thread and metrics.
    pub fn start<R>(
        self,
        name: &str,
        role: R,
        link: LinkHandle,
        adapter: impl Adapter<R::Effect> + 'static,
        metrics: Arc<Metrics>,
    ) -> eyre::Result<JoinHandle<()>>
    where
        R: Role<Local = L> + Send + 'static,
    {
        let sink: Arc<dyn Sink> = Arc::new(self.handle.clone());
        let owner = link.register(sink);
        let meter = DriverMeter { steps: metrics.steps(name), role: name.into(), metrics };
        std::thread::Builder::new()
            .name(name.to_string())
            .spawn(move || run(self.queue, self.handle.depth, role, link, owner, adapter, meter))
            .wrap_err_with(|| format!("start thread {name}"))
    }
}

fn run<R: Role>(
    queue: Receiver<Event<R::Local>>,
    depth: Arc<AtomicUsize>,
    mut role: R,
    link: LinkHandle,
    owner: u64,
    mut adapter: impl Adapter<R::Effect>,
    meter: DriverMeter,
) {
    loop {
        let event = match queue.recv_timeout(wait_for(&role)) {
            Ok(event) => {
                depth.fetch_sub(1, Ordering::SeqCst);
                event
            }
            Err(RecvTimeoutError::Timeout) => Input::Wake,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        meter.before(&event);
        let timer = meter.steps.start_timer();
        let outputs = role.step(Timestamp::from_steady(), event);
        timer.observe_duration();
        for output in outputs {
            meter.after(&output);
            match output.for_link(owner) {
                Ok(action) => link.act(action),
                Err(LocalOutput::Observe(observation)) => meter.metrics.observe(observation),
                Err(LocalOutput::Effect(effect)) => adapter.execute(effect),
                Err(LocalOutput::Stopped) => return,
            }
        }
    }
}

/// Records metrics of the inputs and outputs of a driver.
struct DriverMeter {
    role: Box<str>,
    steps: Histogram,
    metrics: Arc<Metrics>,
}

impl DriverMeter {
    fn before<L>(&self, event: &Event<L>) {
        match event {
            Input::Request { inbound, envelope } => {
                self.metrics.requested(*inbound, &envelope.body);
            }
            Input::Abandoned { inbound } => self.metrics.ended(*inbound),
            _ => {}
        }
    }

    fn after<E>(&self, output: &Output<E>) {
        match output {
            Output::Reply { inbound, last: true, envelope } => {
                self.metrics.revised(&self.role, envelope.revised.revision);
                self.metrics.ended(*inbound);
            }
            Output::Open { envelope, .. } => {
                self.metrics.revised(&self.role, envelope.revised.revision);
            }
            _ => {}
        }
    }
}

fn wait_for<R: Role>(role: &R) -> Duration {
    let now = Timestamp::from_steady();
    role.next_wake().map_or(IDLE_WAIT, |at| at - now).min(IDLE_WAIT)
}
