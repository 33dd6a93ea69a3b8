//! Renders the report as an HTML page with plots over time. Does no I/O.

use std::fmt::Write as _;

use plotters::prelude::*;

use crate::measurements::{RunReport, SecondSample};

/// Width and height of a plot. This size and those below are in pixels.
const PLOT_SIZE: (u32, u32) = (900, 260);
const MARGIN: u32 = 10;
const LABELS_WIDTH: u32 = 70;
const LABELS_HEIGHT: u32 = 30;
/// The y axis ends at the highest value, or at this one if all values are lower, times `Y_MAX_FACTOR`.
const MIN_Y_MAX: f64 = 1e-3;
const Y_MAX_FACTOR: f64 = 1.05;
const FONT: (&str, u32) = ("sans-serif", 16);

/// A line of a plot.
struct PlotLine {
    name: &'static str,
    color: RGBColor,
    value: fn(&SecondSample) -> f64,
}

fn plot_line(name: &'static str, color: RGBColor, value: fn(&SecondSample) -> f64) -> PlotLine {
    PlotLine { name, color, value }
}

/// A plot's title and lines.
type Plot = (&'static str, Vec<PlotLine>);

fn plots() -> [Plot; 4] {
    [
        ("Task starts per second", vec![plot_line("starts", BLUE, |second| second.starts as f64)]),
        (
            "Tasks",
            vec![
                plot_line("on machines", BLUE, |second| second.running as f64),
                plot_line("waiting", RED, |second| second.waiting.max(0) as f64),
            ],
        ),
        ("Workers", vec![plot_line("workers", BLUE, |second| second.workers as f64)]),
        (
            "Processor time, fractions of a core",
            vec![
                plot_line("leader", RED, |second| second.leader_cpu),
                plot_line("all controllers", BLUE, |second| second.controllers_cpu),
                plot_line("kv store", GREEN, |second| second.state_cpu),
                plot_line("simulated workers", BLACK, |second| second.workers_cpu),
                plot_line("load", MAGENTA, |second| second.load_cpu),
            ],
        ),
    ]
}

/// Returns the page: the text table of the report and the plots.
pub fn render_page(report: &RunReport) -> String {
    let mut html = String::from(concat!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Scale run</title>\n",
        "<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}pre{overflow-x:auto}</style>\n",
    ));
    // Writing to a string cannot fail.
    let _ = writeln!(html, "<h1>Scale run</h1>\n<pre>{}</pre>", escape_html(&report.table()));
    for (title, lines) in plots() {
        let _ = writeln!(html, "<h2>{title}</h2>\n{}", render_plot(&report.samples, &lines));
    }
    html.push_str("</html>\n");
    html
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Returns the plot as SVG, or a paragraph with the error if it cannot be drawn.
fn render_plot(seconds: &[SecondSample], lines: &[PlotLine]) -> String {
    let mut svg = String::new();
    match draw_plot(&mut svg, seconds, lines) {
        Ok(()) => svg,
        Err(error) => format!("<p>the plot could not be drawn: {}</p>", escape_html(&error.to_string())),
    }
}

fn draw_plot(
    svg: &mut String,
    seconds: &[SecondSample],
    lines: &[PlotLine],
) -> Result<(), Box<dyn std::error::Error>> {
    let last = seconds.last().map_or(1, |second| second.at_s).max(1);
    let values = seconds.iter().flat_map(|second| lines.iter().map(|line| (line.value)(second)));
    let highest = values.fold(0.0, f64::max).max(MIN_Y_MAX) * Y_MAX_FACTOR;
    let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(MARGIN)
        .x_label_area_size(LABELS_HEIGHT)
        .y_label_area_size(LABELS_WIDTH)
        .build_cartesian_2d(0..last, 0.0..highest)?;
    chart.configure_mesh().x_desc("seconds of the load").label_style(FONT).draw()?;
    for line in lines {
        let points = seconds.iter().map(|second| (second.at_s, (line.value)(second)));
        let color = line.color;
        chart
            .draw_series(LineSeries::new(points, &color))?
            .label(line.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).label_font(FONT).draw()?;
    area.present()?;
    Ok(())
}
