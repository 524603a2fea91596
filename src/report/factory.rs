//! Creates and registers metrics.

use eyre::WrapErr;
use prometheus::{
    Gauge, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry,
};

/// Upper bounds of histogram buckets in seconds, from 0.1 ms to 2 min.
const SECONDS: [f64; 16] = [
    0.000_1, 0.000_5, 0.001, 0.002, 0.005, 0.01, 0.026, 0.05, 0.1, 0.25, 0.51, 1.0, 2.5, 10.0,
    30.0, 120.0,
];

/// Creates and registers metrics with the prefix `dotterelpin_`.
pub(super) struct Factory<'a>(pub(super) &'a Registry);

impl Factory<'_> {
    fn opts(name: &str, help: &str) -> Opts {
        Opts::new(format!("dotterelpin_{name}"), help)
    }

    fn register<T: prometheus::core::Collector + Clone + 'static>(
        &self,
        metric: T,
    ) -> eyre::Result<T> {
        self.0.register(Box::new(metric.clone())).wrap_err("register metric")?;
        Ok(metric)
    }

    pub(super) fn counter(&self, name: &str, help: &str) -> eyre::Result<IntCounter> {
        self.register(IntCounter::with_opts(Self::opts(name, help))?)
    }

    pub(super) fn counters(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> eyre::Result<IntCounterVec> {
        self.register(IntCounterVec::new(Self::opts(name, help), labels)?)
    }

    pub(super) fn gauge(&self, name: &str, help: &str) -> eyre::Result<IntGauge> {
        self.register(IntGauge::with_opts(Self::opts(name, help))?)
    }

    pub(super) fn seconds_gauge(&self, name: &str, help: &str) -> eyre::Result<Gauge> {
        self.register(Gauge::with_opts(Self::opts(name, help))?)
    }

    pub(super) fn gauges(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> eyre::Result<IntGaugeVec> {
        self.register(IntGaugeVec::new(Self::opts(name, help), labels)?)
    }

    pub(super) fn seconds(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> eyre::Result<HistogramVec> {
        let opts = HistogramOpts::from(Self::opts(name, help)).buckets(SECONDS.to_vec());
        self.register(HistogramVec::new(opts, labels)?)
    }
}
