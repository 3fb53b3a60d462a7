//! Reports of usage by the holder of the duty.

use super::{DutyCall, DutyOutcome, DutySource, DutyStep, StoredState};
use crate::{log::Event, node::Node};
use carobwheel_core::{
    time::Millis,
    usage::{ReportInput, ReportLog, ReportStep, ReportTimes, StoredReports},
};
use std::{cell::RefCell, collections::BTreeMap, rc::Rc, sync::Arc};

/// Source of the usage reports, whose committed windows stand under `state_key`; idle if the deployment wants
/// none.
pub fn usage_source(node: &Rc<Node>, state_key: &str) -> DutySource {
    let Some(times) = node.settings.usage_times() else {
        return DutySource::idle();
    };
    let reporter = Rc::new(RefCell::new(Reporter::new(Rc::clone(node), times)));
    let (begun, stepped, committed, answered) = (
        Rc::clone(&reporter),
        Rc::clone(&reporter),
        Rc::clone(&reporter),
        reporter,
    );
    DutySource {
        state_key: Some(state_key.to_owned()),
        began: Box::new(move |state| begun.borrow_mut().began(&state)),
        next_step: Box::new(move |boot_now| stepped.borrow_mut().next_step(boot_now)),
        committed: Box::new(move || committed.borrow_mut().committed()),
        answered: Box::new(move |call, outcome| answered.borrow_mut().answered(call, outcome)),
    }
}

/// Reports of this instance.
struct Reporter {
    node: Rc<Node>,
    log: ReportLog,
    /// Windows whose commit is in progress.
    committing: Option<StoredReports>,
}

impl Reporter {
    fn new(node: Rc<Node>, times: ReportTimes) -> Self {
        Self {
            node,
            log: ReportLog::new(times),
            committing: None,
        }
    }

    /// Takes over what the former holder has committed. A value that cannot be read counts as none.
    fn began(&mut self, state: &StoredState) {
        self.committing = None;
        let stored = state.value.as_deref().and_then(|value| {
            let decoded = serde_json::from_slice(value);
            if let Err(err) = &decoded {
                let reason = &err.to_string();
                self.node.log.event(Event::UsageStateIgnored { reason });
            }
            decoded.ok()
        });
        let first = {
            let state = self.node.state.borrow();
            let usage = state.usage.as_ref();
            usage.and_then(|usage| usage.table.first_window())
        };
        self.update_committed_before();
        self.log.read(stored, first.unwrap_or_default());
        if let Some(usage) = &mut self.node.state.borrow_mut().usage {
            usage.note_committed_before(self.log.committed_before());
        }
    }

    /// Takes over from gossip which windows are committed.
    fn update_committed_before(&mut self) {
        let state = self.node.state.borrow();
        if let Some(usage) = &state.usage {
            self.log.note_committed_before(usage.committed_before());
        }
    }

    fn next_step(&mut self, boot_now: Millis) -> DutyStep {
        let step = self.decide(boot_now);
        for window in self.log.take_skipped() {
            self.node.metrics.usage.skipped.add(1);
            self.node.log.event(Event::UsageWindowSkipped { window });
        }
        match step {
            ReportStep::Read | ReportStep::Wait => DutyStep::Wait,
            ReportStep::Commit(stored) => match serde_json::to_vec(&stored) {
                Ok(value) => {
                    self.committing = Some(stored);
                    DutyStep::Commit(value)
                }
                Err(_) => DutyStep::Wait,
            },
            ReportStep::Send(report) => DutyStep::Call(DutyCall::Usage {
                window: report.window,
                counts: report.counts,
            }),
        }
    }

    fn decide(&mut self, boot_now: Millis) -> ReportStep {
        let node = Rc::clone(&self.node);
        let state = node.state.borrow();
        let Some(usage) = &state.usage else {
            return ReportStep::Wait;
        };
        let totals = |window: u64| -> BTreeMap<Arc<str>, u64> {
            let (counts, requests) = usage.totals(window);
            if requests > 0 {
                node.log
                    .event(Event::UsageAccountUnknown { window, requests });
            }
            counts
        };
        self.log.next_step(&ReportInput {
            true_ms: usage.true_ms(boot_now),
            collects_since_ms: usage.collects_since_ms(),
            is_complete: &|window| state.is_usage_complete(&node, window, node.now()),
            totals: &totals,
        })
    }

    fn committed(&mut self) {
        if let Some(stored) = self.committing.take() {
            if let Some(last) = stored.open.last() {
                self.node.log.event(Event::UsageCommitted {
                    window: last.window,
                    windows: stored.open.len(),
                    requests: last.counts.values().sum(),
                });
            }
            if let Some(usage) = &mut self.node.state.borrow_mut().usage {
                usage.note_committed_before(stored.next);
            }
            self.log.committed(stored);
        }
    }

    fn answered(&mut self, call: &DutyCall, outcome: &DutyOutcome) {
        let DutyCall::Usage { window, .. } = call else {
            return;
        };
        let boot_now = self.node.clock.boot_now();
        if *outcome != DutyOutcome::Confirmed {
            return;
        }
        self.log.confirmed(*window);
        let metrics = &self.node.metrics.usage;
        metrics.reported.add(1);
        let state = self.node.state.borrow();
        if let Some(usage) = &state.usage {
            if self.log.is_late(*window, usage.true_ms(boot_now)) {
                metrics.late.add(1);
            }
        }
    }
}
