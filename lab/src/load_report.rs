//! The report of a load run: figures to read, plots to look at, rows for programs.

use std::fs;
use std::path::Path;

use endivedyke::{Code, Error, Result};
use hdrhistogram::Histogram;
use plotters::prelude::{
    BLACK, ChartBuilder, IntoDrawingArea, IntoFont, LineSeries, Palette, Palette99, PathElement,
    SVGBackend, WHITE,
};

use crate::load::{LoadReport, ProcessSample, TargetSample};

const PLOT_SIZE: (u32, u32) = (900, 360);

/// The figures that a run comes down to.
#[derive(Debug, Default)]
pub(crate) struct LoadFigures {
    pub(crate) requests_per_s: f64,
    pub(crate) latency_ms: Vec<(f64, f64)>,
    pub(crate) flow_imbalance: f64,
    pub(crate) busy_imbalance: f64,
}

/// Works the figures out.
pub(crate) fn figures(report: &LoadReport) -> Result<LoadFigures> {
    let mut histogram = Histogram::<u64>::new(3).map_err(failed)?;
    for latency_us in &report.tally.latencies_us {
        histogram.record(*latency_us).map_err(failed)?;
    }
    let percentiles = [50.0, 90.0, 99.0, 99.9];
    let latency = |percent| {
        (
            percent,
            histogram.value_at_percentile(percent) as f64 / 1_000.0,
        )
    };
    Ok(LoadFigures {
        requests_per_s: report.tally.answered as f64 / report.seconds.max(1) as f64,
        latency_ms: percentiles.map(latency).to_vec(),
        flow_imbalance: mean_flow_imbalance(report),
        busy_imbalance: busy_imbalance(report),
    })
}

fn failed(error: impl std::fmt::Display) -> Error {
    Error::new(Code::Io, error.to_string())
}

/// Returns the greatest of the values over their mean, less one.
fn excess(values: &[f64]) -> f64 {
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    let greatest = values.iter().copied().fold(0.0, f64::max);
    if mean > 0.0 {
        greatest / mean - 1.0
    } else {
        0.0
    }
}

fn target_count(report: &LoadReport) -> usize {
    let numbers = report.targets.iter().map(|sample| sample.target + 1);
    numbers.max().unwrap_or(0)
}

fn of_second(report: &LoadReport, second: u64) -> Vec<&TargetSample> {
    report
        .targets
        .iter()
        .filter(|sample| sample.second == second)
        .collect()
}

/// Returns the mean over the second half of the run of the imbalance of open flows.
fn mean_flow_imbalance(report: &LoadReport) -> f64 {
    let seconds = report.seconds / 2..report.seconds.saturating_sub(1);
    let count = seconds.clone().count().max(1) as f64;
    let imbalance = |second| {
        let flows = of_second(report, second);
        excess(
            &flows
                .iter()
                .map(|sample| sample.open_flows as f64)
                .collect::<Vec<_>>(),
        )
    };
    seconds.map(imbalance).sum::<f64>() / count
}

/// Returns the imbalance of the busy time of the last ten whole seconds.
fn busy_imbalance(report: &LoadReport) -> f64 {
    let last = report.seconds.saturating_sub(1);
    let first = last.saturating_sub(10);
    let mut busy = vec![0.0; target_count(report)];
    for sample in report
        .targets
        .iter()
        .filter(|s| (first..last).contains(&s.second))
    {
        busy[sample.target] += sample.busy_ms as f64;
    }
    excess(&busy)
}

/// Writes `report.md`, `rows.json` and the plots into `folder`.
pub(crate) fn write(report: &LoadReport, folder: &Path) -> Result<String> {
    fs::create_dir_all(folder)?;
    let rows = serde_json::to_string(report).map_err(failed)?;
    fs::write(folder.join("rows.json"), rows)?;
    plot_flows(report, &folder.join("flows.svg"))?;
    plot_processes(report, &folder.join("cpu.svg"))?;
    let text = text(report)?;
    fs::write(folder.join("report.md"), &text)?;
    Ok(text)
}

fn text(report: &LoadReport) -> Result<String> {
    let figures = figures(report)?;
    let tally = &report.tally;
    let mut text = format!(
        "# Load report\n\n{} s, {:.0} requests/s answered\n\n\
         | requests | answered | refused tries | unknown | wrong | doubled | lost | flows | flows \
         broken | feeds broken |\n|---|---|---|---|---|---|---|---|---|---|\n\
         | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |\n\n",
        report.seconds,
        figures.requests_per_s,
        tally.requests,
        tally.answered,
        tally.refused,
        tally.unknown,
        tally.wrong,
        tally.doubled,
        tally.lost,
        tally.flows,
        tally.flows_broken,
        tally.feeds_broken,
    );
    for (percent, ms) in &figures.latency_ms {
        text += &format!("latency p{percent}: {ms:.2} ms\n");
    }
    text += &format!(
        "\nimbalance of open flows, mean of the second half: {:.2} %\n\
         imbalance of busy slots, last 10 s: {:.2} %\n\
         calls to the configuration service: {}\n\n",
        figures.flow_imbalance * 100.0,
        figures.busy_imbalance * 100.0,
        report.platform_calls,
    );
    text +=
        "| process | cpu, mean ms/s | memory, last MB | control, mean B/s | control calls/s |\n";
    text += "|---|---|---|---|---|\n";
    for name in process_names(report) {
        text += &process_row(report, name);
    }
    text += "\n![open flows by target](flows.svg)\n![processor time](cpu.svg)\n";
    Ok(text)
}

fn process_names(report: &LoadReport) -> Vec<&str> {
    let first = report.processes.iter().filter(|sample| sample.second == 0);
    first.map(|sample| sample.process.as_str()).collect()
}

fn process_row(report: &LoadReport, name: &str) -> String {
    let samples: Vec<&ProcessSample> = report
        .processes
        .iter()
        .filter(|sample| sample.process == name)
        .collect();
    let count = samples.len().max(1) as u64;
    let mean = |value: fn(&ProcessSample) -> u64| {
        samples.iter().map(|sample| value(sample)).sum::<u64>() as f64 / count as f64
    };
    let memory_bytes = samples.last().map_or(0, |sample| sample.memory_bytes);
    format!(
        "| {name} | {:.0} | {:.1} | {:.0} | {:.1} |\n",
        mean(|sample| sample.cpu_ms),
        memory_bytes as f64 / 1e6,
        mean(|sample| sample.control_bytes),
        mean(|sample| sample.control_calls),
    )
}

/// One line of a plot.
struct Series {
    name: String,
    points: Vec<(f64, f64)>,
}

fn plot_flows(report: &LoadReport, path: &Path) -> Result<()> {
    let series = (0..target_count(report)).map(|target| Series {
        name: format!("t{target}"),
        points: report
            .targets
            .iter()
            .filter(|sample| sample.target == target)
            .map(|sample| (sample.second as f64, sample.open_flows as f64))
            .collect(),
    });
    plot(path, "open flows by target", &series.collect::<Vec<_>>())
}

fn plot_processes(report: &LoadReport, path: &Path) -> Result<()> {
    let series = process_names(report).into_iter().map(|name| Series {
        name: name.to_owned(),
        points: report
            .processes
            .iter()
            .filter(|sample| sample.process == name)
            .map(|sample| (sample.second as f64, sample.cpu_ms as f64))
            .collect(),
    });
    plot(
        path,
        "processor time, ms each second",
        &series.collect::<Vec<_>>(),
    )
}

fn plot(path: &Path, title: &str, series: &[Series]) -> Result<()> {
    let points = || {
        series
            .iter()
            .flat_map(|series| series.points.iter().copied())
    };
    let right = points().map(|point| point.0).fold(1.0, f64::max);
    let top = points().map(|point| point.1).fold(1.0, f64::max) * 1.1;
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(failed)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18).into_font())
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(55)
        .build_cartesian_2d(0.0..right, 0.0..top)
        .map_err(failed)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .draw()
        .map_err(failed)?;
    for (index, series) in series.iter().enumerate() {
        let color = Palette99::pick(index);
        chart
            .draw_series(LineSeries::new(series.points.iter().copied(), &color))
            .map_err(failed)?
            .label(&series.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], Palette99::pick(index)));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .draw()
        .map_err(failed)?;
    area.present().map_err(failed)
}
