//! Routes and handlers.

use std::collections::BTreeMap;
use std::panic::RefUnwindSafe;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use gotham::handler::HandlerResult;
use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{single_middleware, single_pipeline};
use gotham::router::Router;
use gotham::router::builder::{DefineSingleRoute as _, DrawRoutes as _, build_router};
use gotham::state::{FromState as _, State, StateData, client_addr};
use stairward_types::Time;
use tokio::sync::{Notify, oneshot};

use super::event::{ObjectAnswer, StoreEffect, StoreEvent, StoreRequest};
use super::request::{ObjectPath, RequestError, read_get, read_put, read_set_machines};
use super::respond::{refusal, response, unavailable};
use super::sever::Connections;
use super::store::ObjectStore;

/// What all handlers share.
#[derive(Debug)]
pub struct Shared {
    state: Mutex<StoreState>,
    started: Instant,
    /// Told when the next wake-up may have changed.
    pub rescheduled: Notify,
    /// The open connections.
    pub connections: Connections,
}

#[derive(Debug)]
struct StoreState {
    store: ObjectStore,
    last_number: u64,
    waiting: BTreeMap<u64, oneshot::Sender<Outcome>>,
}

/// How a request ends.
#[derive(Debug)]
enum Outcome {
    Answered(ObjectAnswer),
    Closed,
}

impl Shared {
    /// Serves a store.
    #[must_use]
    pub fn new(store: ObjectStore) -> Self {
        Self {
            state: Mutex::new(StoreState {
                store,
                last_number: 0,
                waiting: BTreeMap::new(),
            }),
            started: Instant::now(),
            rescheduled: Notify::new(),
            connections: Connections::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The present moment on the store's clock.
    #[must_use]
    pub fn now(&self) -> Time {
        Time::ZERO + self.started.elapsed()
    }

    /// When the store wants to be woken.
    #[must_use]
    pub fn wake_at(&self) -> Option<Time> {
        self.lock().store.wake_at()
    }

    /// Feeds the store an event.
    pub fn feed(&self, event: StoreEvent) {
        let now = self.now();
        let mut state = self.lock();
        let effects = state.store.handle(now, event);
        for effect in effects {
            let (number, outcome) = match effect {
                StoreEffect::Answer { number, answer } => (number, Outcome::Answered(answer)),
                StoreEffect::Close { number } => (number, Outcome::Closed),
            };
            if let Some(sender) = state.waiting.remove(&number) {
                // Fails only when the client has gone.
                drop(sender.send(outcome));
            }
        }
        drop(state);
        self.rescheduled.notify_one();
    }

    fn register(&self) -> (u64, oneshot::Receiver<Outcome>) {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.lock();
        state.last_number += 1;
        let number = state.last_number;
        state.waiting.insert(number, sender);
        (number, receiver)
    }

    fn abandon(&self, number: u64) {
        let waiting = self.lock().waiting.remove(&number);
        if waiting.is_some() {
            self.feed(StoreEvent::Abandoned { number });
        }
    }
}

/// The shared state as gotham hands it to handlers.
#[derive(Debug, Clone)]
pub struct Api(pub Arc<Shared>);

impl StateData for Api {}

// The mutex recovers from poisoning, so a panic in a handler leaves nothing unusable behind.
impl RefUnwindSafe for Api {}

/// Tells the store when a client has gone before its answer came.
struct Pending {
    shared: Arc<Shared>,
    number: u64,
}

impl Drop for Pending {
    fn drop(&mut self) {
        self.shared.abandon(self.number);
    }
}

/// Builds the routes.
#[must_use]
pub fn router(api: Api) -> Router {
    let pipeline = single_middleware(StateMiddleware::new(api));
    let (chain, pipelines) = single_pipeline(pipeline);
    build_router(chain, pipelines, |route| {
        route.get("/objects").to_async(list);
        route
            .get("/objects/:name")
            .with_path_extractor::<ObjectPath>()
            .to_async(get);
        route
            .put("/objects/:name")
            .with_path_extractor::<ObjectPath>()
            .to_async(put);
        route.get("/machines").to_async(machines);
        route.put("/machines").to_async(set_machines);
    })
}

async fn list(state: State) -> HandlerResult {
    answer(state, Ok(StoreRequest::List)).await
}

async fn get(mut state: State) -> HandlerResult {
    let request = read_get(&mut state);
    answer(state, request).await
}

async fn put(mut state: State) -> HandlerResult {
    let request = read_put(&mut state).await;
    answer(state, request).await
}

async fn machines(state: State) -> HandlerResult {
    answer(state, Ok(StoreRequest::Machines)).await
}

async fn set_machines(mut state: State) -> HandlerResult {
    let request = read_set_machines(&mut state).await;
    answer(state, request).await
}

async fn answer(state: State, request: Result<StoreRequest, RequestError>) -> HandlerResult {
    let shared = Arc::clone(&Api::borrow_from(&state).0);
    let client = client_addr(&state);
    let response = match request {
        Ok(request) => match ask(Arc::clone(&shared), request).await {
            Some(Outcome::Answered(answer)) => response(&state, answer),
            Some(Outcome::Closed) => {
                if let Some(client) = client {
                    shared.connections.sever(client);
                }
                // Never arrives: the connection is closed.
                unavailable(&state)
            }
            None => unavailable(&state),
        },
        Err(error) => refusal(&state, &error),
    };
    Ok((state, response))
}

/// Asks the store; `None` when it has gone.
async fn ask(shared: Arc<Shared>, request: StoreRequest) -> Option<Outcome> {
    let (number, receiver) = shared.register();
    let pending = Pending {
        shared: Arc::clone(&shared),
        number,
    };
    shared.feed(StoreEvent::Request { number, request });
    let outcome = receiver.await;
    drop(pending);
    outcome.ok()
}
