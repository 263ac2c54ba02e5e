//! Pages for operators.

use salvo::Depot;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::async_trait;
use salvo::http::StatusCode;
use salvo::writing::Json;

use crate::query::Client;
use crate::query::Question;

struct Status {
    client: Client,
}

#[async_trait]
impl Handler for Status {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut salvo::FlowCtrl,
    ) {
        match self.client.ask(Question::Status).await {
            Some(answer) => response.render(Json(answer)),
            None => {
                response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            }
        }
    }
}

pub(crate) fn router(client: Client) -> Router {
    Router::new().push(Router::with_path("v1/status").get(Status { client }))
}
