//! Numbers of upstreams, set by the holder of the duty in its region.

use super::{DutyCall, DutyOutcome, DutySource, DutyStep};
use crate::node::Node;
use carobwheel_core::time::Millis;
use std::rc::Rc;

/// Source of the calls that set the numbers of upstreams; idle if the deployment wants none.
pub fn autoscale_source(node: &Rc<Node>) -> DutySource {
    if node.state.borrow().scaling.is_none() {
        return DutySource::idle();
    }
    let (begun, stepped, answered) = (Rc::clone(node), Rc::clone(node), Rc::clone(node));
    DutySource {
        state_key: None,
        began: Box::new(move |_| {
            let boot_now = begun.clock.boot_now();
            if let Some(scaling) = &mut begun.state.borrow_mut().scaling {
                scaling.begin_term(boot_now);
            }
        }),
        next_step: Box::new(move |boot_now| {
            next_call(&stepped, boot_now).map_or(DutyStep::Wait, DutyStep::Call)
        }),
        committed: Box::new(|| {}),
        answered: Box::new(move |call, outcome| {
            note_answer(&answered, call, *outcome == DutyOutcome::Confirmed);
        }),
    }
}

fn next_call(node: &Node, boot_now: Millis) -> Option<DutyCall> {
    let mut state = node.state.borrow_mut();
    let scaling = state.scaling.as_mut()?;
    let (service, call) = scaling.next_call(boot_now)?;
    Some(DutyCall::Scale {
        service,
        data_centre: call.data_centre,
        desired: call.desired,
    })
}

fn note_answer(node: &Node, call: &DutyCall, is_confirmed: bool) {
    let DutyCall::Scale {
        service,
        data_centre,
        desired,
    } = call
    else {
        return;
    };
    let mut state = node.state.borrow_mut();
    let scaler = state
        .scaling
        .as_mut()
        .and_then(|scaling| scaling.services.get_mut(service));
    if let Some(scaler) = scaler {
        scaler.answered(data_centre, *desired, is_confirmed);
    }
}
