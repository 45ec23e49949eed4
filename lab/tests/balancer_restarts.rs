//! A feed whose packets are sprayed over three balancers stays open while each of them restarts.

use std::time::Duration;

use endivedyke_lab::{Caller, Site, SiteBuilder};

const EVENTS: usize = 200;
const EVENT_PERIOD_MS: u64 = 20;

async fn restart(site: &mut Site, index: usize) {
    let balancer = site.balancer(index).expect("runs");
    balancer.terminate().expect("gets the signal");
    let is_success = balancer.wait(Duration::from_secs(20)).await.expect("ends");
    assert!(is_success, "a balancer exits with 0 after SIGTERM");
    site.start_balancer(index).expect("starts");
    site.wait_ready().await.expect("is ready again");
}

#[test]
fn a_feed_survives_the_restart_of_every_balancer() {
    let runtime = compio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async {
        let mut site = SiteBuilder::new(3)
            .service("panel-front", 2, 4, 5)
            .start()
            .await
            .expect("site");
        let mut caller = Caller::new(site.service_address(0)).await.expect("caller");
        let feed = compio::runtime::spawn(async move {
            let mut text = Vec::new();
            let path = format!("/feed/night/{EVENTS}/{EVENT_PERIOD_MS}");
            let result = caller
                .read_feed(&path, |chunk| text.extend_from_slice(chunk))
                .await;
            caller.drop_flow();
            (
                result,
                String::from_utf8_lossy(&text).into_owned(),
                caller.flow_counts(),
            )
        });
        for index in 0..3 {
            restart(&mut site, index).await;
        }
        let (result, text, counts) = feed.await.expect("feed task");
        let expected: String = (0..EVENTS)
            .map(|sequence| format!("data: panel-front night {sequence}\n\n"))
            .collect();
        assert_eq!(result, Ok(()));
        assert_eq!(
            text, expected,
            "no event is missing, duplicated or out of order"
        );
        assert_eq!(counts, (1, 0), "one flow, not broken");
    });
}
