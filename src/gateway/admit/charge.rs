//! How calls of client accounts with a quota get their credit, and what is logged of that.

use std::net::SocketAddr;
use std::time::Duration;

use super::super::{Gateway, answer};
use super::lines::QuotaLines;
use super::quota::{CREDIT_WAIT, Contact, Decision, ELECTION_WAIT, Quotas};
use super::returns::spread_return;
use crate::control::dispatch::bucket::{AccountLimit, cost};
use crate::gateway::call::{Call, Stage};
use crate::gateway::reason::EndReason;
use crate::h1::CallerId;
use crate::link::message::{ControlReply, ControlRequest};
use crate::model::{BootId, ExchangeId, Timestamp};
use crate::report::observation::{Observation, QuotaOutcome};
use crate::role::Output;
use crate::routes::RouteTable;

/// How long the leader is silent before another member is asked who leads: a single answer may be
/// late because a process stood still.
const SILENT_TIME: Duration = Duration::from_millis(150);
/// The part of its latency target, in percent, that a call may wait for a leader that does not answer:
/// one that is refused while control elects a leader meets the same election when it comes back.
const SILENT_WAIT_PERCENT: u32 = 50;
/// The shortest retry time of a caller over its quota.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// The part of its retry time, in percent, by which the retry of a caller is put off at random.
const SPREAD_PERCENT: u64 = 25;

/// The credit of client accounts at a gateway, and whom it asks for more.
#[derive(Debug)]
pub struct Charging {
    /// The credit.
    pub quotas: Quotas<CallerId>,
    /// The member that is asked, if it is another one than the known leader.
    creditor: Option<SocketAddr>,
    /// What was logged lately.
    lines: QuotaLines,
}

impl Charging {
    /// Creates the state of a gateway that holds no credit.
    pub fn new(boot: BootId) -> Charging {
        Charging { quotas: Quotas::new(boot), creditor: None, lines: QuotaLines::default() }
    }
}

impl Gateway {
    /// Takes the credit for a call; returns `false` if the call waits for it or was refused. A call
    /// of no account, or of one without a quota, needs none.
    pub(in crate::gateway) fn take_credit(&mut self, now: Timestamp, caller: CallerId) -> bool {
        let Some((name, limit, cost)) = self.needed_credit(caller) else { return true };
        let contact = self.contact(now);
        let decision = self.charging.quotas.take(now, contact, &name, limit, cost, caller);
        if decision == Decision::Waits
            && let Some(call) = self.calls.get_mut(&caller)
        {
            call.stage = Stage::Credit;
            call.reply_deadline = now + credit_wait(call);
            self.schedule(caller);
            return false;
        }
        self.apply_decision(now, caller, decision)
    }

    /// Returns the account of a call with its limit by the newest table, and what the call costs, if
    /// the account has a quota.
    fn needed_credit(&self, caller: CallerId) -> Option<(Box<str>, AccountLimit, u64)> {
        let call = self.calls.get(&caller)?;
        let account = call.account()?;
        let quota = account.quota.as_ref()?;
        let limit = limit_of(&self.table, &account.name);
        let limit = limit.unwrap_or_else(|| AccountLimit::new(call.table.version(), quota));
        let tokens = call.info.work.as_ref().map(|work| (work.prompt, work.output));
        Some((account.name.clone(), limit, cost(quota.unit, tokens)))
    }

    fn contact(&self, now: Timestamp) -> Contact {
        let majority = self.follower.hears_majority(now);
        Contact { majority, gateways: self.follower.sharers(now) }
    }

    /// Charges a call, or refuses it; returns whether it may be admitted.
    fn apply_decision(&mut self, now: Timestamp, caller: CallerId, decision: Decision) -> bool {
        let Some(call) = self.calls.get_mut(&caller) else { return false };
        let waited = matches!(call.stage, Stage::Credit);
        call.stage = Stage::Waiting;
        match decision {
            Decision::Paid(charge) => {
                call.charge = Some(charge);
                let alone = charge.stamp.is_none();
                let outcome = if waited { QuotaOutcome::Granted } else { QuotaOutcome::Local };
                let outcome = if alone { QuotaOutcome::Alone } else { outcome };
                self.count_decision(caller, outcome);
                if alone {
                    self.log_quota(now, caller, outcome, Duration::ZERO);
                }
                true
            }
            Decision::Waits => false,
            Decision::Refused(after) => {
                self.refuse_over_quota(now, caller, after);
                false
            }
            Decision::TooLarge => {
                let outcome = QuotaOutcome::TooLarge;
                self.count_decision(caller, outcome);
                self.log_quota(now, caller, outcome, Duration::ZERO);
                self.conclude(now, caller, answer::over_burst(), EndReason::OverQuota);
                false
            }
        }
    }

    /// Refuses a call for whose cost the account has room after a time.
    fn refuse_over_quota(&mut self, now: Timestamp, caller: CallerId, after: Duration) {
        let draw = self.draw();
        let Some(call) = self.calls.get(&caller) else { return };
        let latest = spread_return(call.caller_deadline - now, draw);
        let early = after.max(MIN_RETRY_AFTER);
        let spread = early.as_millis() as u64 * SPREAD_PERCENT / 100;
        let after = (early + Duration::from_millis(draw % (spread + 1))).min(latest);
        let outcome = QuotaOutcome::Refused;
        self.count_decision(caller, outcome);
        self.log_quota(now, caller, outcome, after);
        self.conclude(now, caller, answer::over_quota(after), EndReason::OverQuota);
    }

    fn count_decision(&mut self, caller: CallerId, outcome: QuotaOutcome) {
        let account = self.calls.get(&caller).and_then(Call::account);
        let Some(account) = account.map(|account| account.name.clone()) else { return };
        self.outputs.push(Output::Observe(Observation::Quota { account, outcome }));
    }

    /// Logs a decision, at most once for each account, outcome and second.
    fn log_quota(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        outcome: QuotaOutcome,
        after: Duration,
    ) {
        let Some((name, limit, cost)) = self.needed_credit(caller) else { return };
        let Some(dropped) = self.charging.lines.admit(now, &name, outcome.as_str()) else { return };
        let alone = self.charging.quotas.alone_since(now, self.contact(now)).is_some();
        let (credit, left) = self.charging.quotas.held(now, &name);
        let Some(call) = self.calls.get(&caller) else { return };
        log::info!(
            "step=quota id={} account=\"{name}\" outcome={} cost={cost} rate={} bucket={} \
             limit_version={} credit={credit} credit_ms={} level={} reply_ms={} alone={alone} \
             waited_ms={} retry_ms={} dropped={dropped}",
            call.info.id,
            outcome.as_str(),
            limit.rate,
            limit.size,
            limit.version,
            left.as_millis(),
            self.charging.quotas.level(&name),
            self.charging.quotas.reply_age(now).map_or(-1, |age| age.as_millis() as i64),
            (now - call.arrived).as_millis(),
            after.as_millis(),
        );
    }

    /// Refuses a call that has waited for credit for too long.
    pub(in crate::gateway) fn credit_timed_out(&mut self, now: Timestamp, caller: CallerId) {
        let account = self.calls.get(&caller).and_then(Call::account);
        let Some(name) = account.map(|account| account.name.clone()) else { return };
        let after = self.charging.quotas.give_up(now, &name, caller);
        // The leader did not answer, so there may be none for as long as an election takes.
        self.apply_decision(now, caller, Decision::Refused(after.max(ELECTION_WAIT)));
    }

    /// Forgets that a call waits for credit.
    pub(in crate::gateway) fn forget_wait(&mut self, caller: CallerId) {
        if let Some(account) = self.calls.get(&caller).and_then(Call::account) {
            self.charging.quotas.forget(&account.name, caller);
        }
    }

    /// Returns the credit of a call that has not run and will not.
    pub(in crate::gateway) fn give_back_credit(&mut self, now: Timestamp, call: &Call) {
        if let (Some(charge), Some(account)) = (call.charge, call.account()) {
            self.charging.quotas.give_back(now, &account.name, charge);
        }
    }

    /// Applies the limits of the present table to the credit that is held.
    pub(in crate::gateway) fn apply_quotas(&mut self) {
        let table = &self.table;
        self.charging.quotas.set_limits(|name| limit_of(table, name));
    }

    /// Ends the exchange about credit that is overdue, and sends the next one.
    pub(in crate::gateway) fn advance_quotas(&mut self, now: Timestamp) {
        if self.charging.quotas.next_wake().is_none_or(|at| at > now) {
            return;
        }
        let contact = self.contact(now);
        if let Some((decided, dropped)) = self.charging.quotas.expire(now, contact) {
            self.outputs.extend(dropped.map(|exchange| Output::Reset { exchange }));
            self.change_creditor(now, None);
            self.apply_decisions(now, decided);
        }
        self.request_credit(now);
    }

    /// Sends the request for credit that is due.
    pub(in crate::gateway) fn request_credit(&mut self, now: Timestamp) {
        if !self.charging.quotas.is_due(now) {
            return;
        }
        let contact = self.contact(now);
        let Some(member) = self.charging.creditor.or(self.follower.leader()) else {
            self.charging.creditor = self.next_member(None);
            let decided = self.charging.quotas.unreachable(now, contact);
            self.apply_decisions(now, decided);
            return;
        };
        let Some(request) = self.charging.quotas.request(now, contact) else { return };
        let exchange = self.send_to_control(member, ControlRequest::Credits(Box::new(request)));
        self.charging.quotas.opened(exchange);
    }

    /// Returns the voter that follows another one.
    fn next_member(&self, after: Option<SocketAddr>) -> Option<SocketAddr> {
        let voters = self.follower.voters();
        let next = after.and_then(|at| voters.iter().position(|v| *v == at)).map_or(0, |i| i + 1);
        voters.get(next).or(voters.first()).copied()
    }

    /// Handles the reply to a request for credit, or the end of its exchange; returns whether it was
    /// one.
    pub(in crate::gateway) fn credit_answered(
        &mut self,
        now: Timestamp,
        exchange: ExchangeId,
        reply: Option<&ControlReply>,
    ) -> bool {
        let contact = self.contact(now);
        let decided = match reply {
            Some(ControlReply::CreditsGranted(reply)) => {
                self.charging.quotas.granted(now, contact, exchange, reply)
            }
            _ => {
                if self.charging.quotas.is_open(exchange) {
                    self.change_creditor(now, reply);
                }
                let unread = matches!(reply, Some(ControlReply::NotLeader { .. }));
                self.charging.quotas.failed(now, contact, exchange, unread)
            }
        };
        let Some(decided) = decided else { return false };
        self.apply_decisions(now, decided);
        true
    }

    /// Chooses the member that is asked for credit next: the leader that a member names, or another
    /// member if the leader has been silent for some time.
    fn change_creditor(&mut self, now: Timestamp, reply: Option<&ControlReply>) {
        let asked = self.charging.creditor.or(self.follower.leader());
        let silent = self.charging.quotas.silence(now) >= SILENT_TIME;
        self.charging.creditor = match reply {
            Some(ControlReply::NotLeader { leader: Some(leader) }) => Some(*leader),
            Some(ControlReply::NotLeader { leader: None }) => self.next_member(asked),
            _ if silent => self.next_member(asked),
            _ => asked,
        };
    }

    fn apply_decisions(&mut self, now: Timestamp, decided: Vec<(CallerId, Decision)>) {
        for (caller, decision) in decided {
            let waits = self.calls.get(&caller).is_some_and(|c| matches!(c.stage, Stage::Credit));
            if waits && self.apply_decision(now, caller, decision) {
                self.admit_paid(now, caller);
            }
        }
        self.request_credit(now);
    }
}

/// Returns the limit of the account with a name in a table, if it has a quota.
fn limit_of(table: &RouteTable, name: &str) -> Option<AccountLimit> {
    let quota = table.accounts().named(name)?.quota.as_ref()?;
    Some(AccountLimit::new(table.version(), quota))
}

/// Returns how long a call may wait for credit. The leader answers much sooner, unless there is none.
fn credit_wait(call: &Call) -> Duration {
    let target = call.route().map(|route| route.target).unwrap_or_default();
    CREDIT_WAIT.max(target * SILENT_WAIT_PERCENT / 100)
}
