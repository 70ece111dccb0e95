//! Load balancer of a service: one of the decisions that the settings of a node select.

use model::{DataCentreName, VmName};

use crate::estimated_load::{Choice, EstimatedLoad, NextChoice};
use crate::placement::{Placement, PlacementLoad, PlacementResult};
use crate::vm_rates::VmRates;

/// Load balancer over the VMs of one service, from the view of one node.
#[derive(Debug)]
pub enum Balancer {
    /// The less loaded of two random VMs by their last reports.
    TwoChoices(Placement),
    /// By an estimate of the load now.
    EstimatedLoad(EstimatedLoad),
}

/// Calls the same function of the selected decision.
macro_rules! delegate {
    ($self:ident, $balancer:ident => $call:expr) => {
        match $self {
            Balancer::TwoChoices($balancer) => $call,
            Balancer::EstimatedLoad($balancer) => $call,
        }
    };
}

impl Balancer {
    /// Adds a VM or updates whether it is leaving.
    pub fn upsert(&mut self, vm: &VmName, data_centre: &DataCentreName, is_leaving: bool) {
        delegate!(self, balancer => balancer.upsert(vm, data_centre, is_leaving));
    }

    /// Records that a VM is leaving, so that it is not chosen again until it is added again.
    pub fn set_leaving(&mut self, vm: &VmName) {
        delegate!(self, balancer => balancer.set_leaving(vm));
    }

    /// Discards what is known of a VM, for example when its node restarts.
    pub fn restart(&mut self, vm: &VmName) {
        delegate!(self, balancer => balancer.restart(vm));
    }

    /// Removes a VM with its statistics.
    pub fn remove(&mut self, vm: &VmName) {
        delegate!(self, balancer => balancer.remove(vm));
    }

    /// Chooses a VM that is not in `tried` and counts the attempt as in flight there.
    ///
    /// `random` is a uniform sample over all values of `u64`. Returns `None` when every VM was
    /// tried or is leaving.
    pub fn choose(&mut self, now_us: u64, tried: &[VmName], random: u64) -> Option<Choice> {
        match self {
            Balancer::TwoChoices(balancer) => {
                let vm = balancer.choose(now_us, tried, random)?;
                Some(Choice { vm, crossing: None, report_age_us: None })
            }
            Balancer::EstimatedLoad(balancer) => balancer.choose(now_us, tried, random),
        }
    }

    /// Chooses the VM to ask after a refusal and counts the attempt as in flight there. A VM that is
    /// not expected to start the call within `max_wait_us` is chosen only by `TwoChoices`.
    pub fn choose_after_refusal(
        &mut self,
        now_us: u64,
        tried: &[VmName],
        max_wait_us: u64,
        random: u64,
    ) -> NextChoice {
        match self {
            Balancer::TwoChoices(_) => match self.choose(now_us, tried, random) {
                Some(choice) => NextChoice::Vm(choice),
                None => NextChoice::NoneExpected { wait_us: None },
            },
            Balancer::EstimatedLoad(balancer) => {
                balancer.choose_after_refusal(now_us, tried, max_wait_us, random)
            }
        }
    }

    /// Returns whether a VM that is not in `tried` is expected to start a call within `max_wait_us`;
    /// `false` if the decision does not tell.
    pub fn has_room(&self, now_us: u64, tried: &[VmName], max_wait_us: u64) -> bool {
        match self {
            Balancer::TwoChoices(_) => false,
            Balancer::EstimatedLoad(balancer) => balancer.has_room(now_us, tried, max_wait_us),
        }
    }

    /// Records the result of an attempt.
    pub fn finish(&mut self, now_us: u64, vm: &VmName, result: PlacementResult) {
        delegate!(self, balancer => balancer.finish(now_us, vm, result));
    }

    /// Removes an attempt that its caller cancelled from the calls in flight.
    pub fn cancel(&mut self, vm: &VmName) {
        delegate!(self, balancer => balancer.cancel(vm));
    }

    /// Records the load that a VM reported with an answer, and its rates if its node sends them.
    pub fn report(
        &mut self,
        now_us: u64,
        vm: &VmName,
        load: PlacementLoad,
        rates: Option<VmRates>,
    ) {
        match self {
            Balancer::TwoChoices(balancer) => balancer.report(vm, load),
            Balancer::EstimatedLoad(balancer) => balancer.report(now_us, vm, load, rates),
        }
    }
}
