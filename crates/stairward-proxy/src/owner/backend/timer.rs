//! The timer that ticks the pool and the lease of one back end at their next deadline.

use std::sync::Arc;
use std::time::Duration;

use stairward_pool::pool::PoolEvent;

use super::{Backend, State};

impl Backend {
    pub(super) fn arm_timer(&self, state: &mut State) {
        let due = [state.pool.next_wake(), state.lease.next_wake()];
        let due = due.into_iter().flatten().min();
        let is_earlier = due.is_some_and(|due| state.timer_due.is_none_or(|armed| due < armed));
        if is_earlier {
            state.timer_due = due;
            self.timer.notify_one();
        }
    }

    pub(super) async fn run_timer(self: Arc<Self>) {
        while !self.ended.is_cancelled() {
            let due = self.lock().timer_due;
            let pause = due.map_or(Duration::MAX, |due| due.since(self.now()));
            tokio::select! {
                () = sleep_for(pause) => {
                    let mut state = self.lock();
                    state.timer_due = None;
                    self.pool_event(&mut state, PoolEvent::Tick);
                }
                () = self.timer.notified() => {}
                () = self.ended.cancelled() => return,
            }
        }
    }
}

async fn sleep_for(pause: Duration) {
    if pause == Duration::MAX {
        std::future::pending().await
    } else {
        tokio::time::sleep(pause).await;
    }
}
