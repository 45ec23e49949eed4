//! Runs the timer service on the clock of the process and calls the subscribed actions.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use crate::process::clock::Clock;
use crate::process::metrics::Metrics;
use crate::process::timer_service::{TimerEvent, TimerId, TimerService};

type Action = Rc<dyn Fn()>;

/// The periodic actions of a process, and its actions after a pause.
pub(crate) struct Timers {
    clock: Clock,
    service: RefCell<TimerService>,
    actions: RefCell<Vec<(TimerId, Action)>>,
    on_resume: RefCell<Vec<Action>>,
}

impl Timers {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            service: RefCell::new(TimerService::new(clock.now_ms())),
            actions: RefCell::default(),
            on_resume: RefCell::default(),
        }
    }

    /// Calls `action` every `period_ms`. The first call comes after a random part of the period, so that hosts
    /// that start together don't act at the same times.
    pub(crate) fn every(&self, period_ms: u64, action: impl Fn() + 'static) {
        let delay_ms = rand::random_range(0..=period_ms);
        let id = self.service.borrow_mut().subscribe(period_ms, delay_ms);
        self.actions.borrow_mut().push((id, Rc::new(action)));
    }

    /// Calls `action` after each detected pause of the process.
    pub(crate) fn on_resume(&self, action: impl Fn() + 'static) {
        self.on_resume.borrow_mut().push(Rc::new(action));
    }

    /// Runs the timers forever.
    pub(crate) async fn run(&self, metrics: &Metrics) {
        loop {
            let wait_ms = self.service.borrow().wait_ms();
            compio::time::sleep(Duration::from_millis(wait_ms)).await;
            let events = self.service.borrow_mut().advance(self.clock.now_ms());
            for event in events {
                self.handle(event, metrics);
            }
        }
    }

    fn handle(&self, event: TimerEvent, metrics: &Metrics) {
        match event {
            TimerEvent::Resumed { gap_ms } => {
                metrics.pauses.inc();
                log::warn!("event=resumed gap_ms={gap_ms}");
                let actions = self.on_resume.borrow().clone();
                actions.iter().for_each(|action| action());
            }
            TimerEvent::Due(id) => {
                let actions = self.actions.borrow();
                let action = actions.iter().find(|(action_id, _)| *action_id == id);
                let action = action.map(|(_, action)| action.clone());
                drop(actions);
                if let Some(action) = action {
                    action();
                }
            }
        }
    }
}
