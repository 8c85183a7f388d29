//! HTTP client that closes its idle connections once a call has had no answer in time.
//!
//! An open connection may go silent for good while new ones work, and then the others that were open mostly
//! are silent, too. A caller that took them one after the other would wait for a time-out on each.

use std::sync::Mutex;
use std::sync::PoisonError;

use bytes::Bytes;
use http::Response;
use reqwest::Client;
use reqwest::ClientBuilder;
use reqwest::Error;
use reqwest::RequestBuilder;

use crate::log_event;
use crate::process::events::Event;

/// Applies the settings of a client, such as its time-outs.
pub type Configure = fn(ClientBuilder) -> ClientBuilder;

/// Connections that were opened since the last time-out.
#[derive(Clone, Debug)]
struct Pool {
    client: Client,
    /// Number of pools before this one.
    number: u64,
}

/// HTTP client with a pool of connections that is replaced after a time-out.
#[derive(Debug)]
pub struct HttpClient {
    configure: Configure,
    pool: Mutex<Pool>,
}

impl HttpClient {
    /// Creates a client without connections. It uses no proxy, as servers are called by IP address.
    pub fn new(configure: Configure) -> HttpClient {
        HttpClient { configure, pool: Mutex::new(Pool { client: build(configure), number: 0 }) }
    }

    /// Sends a request and reads the whole answer, whatever its status. `request` has a time-out.
    pub async fn send(
        &self,
        request: impl FnOnce(&Client) -> RequestBuilder,
    ) -> Result<Response<Bytes>, Error> {
        let pool = self.current_pool();
        let answer = read_answer(request(&pool.client)).await;
        if let Err(error) = &answer
            && error.is_timeout()
            && !error.is_connect()
        {
            self.replace(&pool);
        }
        answer
    }

    fn current_pool(&self) -> Pool {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces a pool, unless another call has done so already. Calls on its connections continue.
    fn replace(&self, outdated: &Pool) {
        let mut pool = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
        if pool.number == outdated.number {
            *pool = Pool { client: build(self.configure), number: pool.number + 1 };
            log_event!(Event::ConnectionsReplaced, "replaced={}", pool.number);
        }
    }
}

fn build(configure: Configure) -> Client {
    configure(Client::builder().no_proxy())
        .build()
        .expect("building a client without TLS does not fail")
}

async fn read_answer(request: RequestBuilder) -> Result<Response<Bytes>, Error> {
    let response = request.send().await?;
    let (status, headers) = (response.status(), response.headers().clone());
    let mut answer = Response::new(response.bytes().await?);
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    Ok(answer)
}
