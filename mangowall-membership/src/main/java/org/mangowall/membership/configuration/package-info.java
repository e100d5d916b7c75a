/** How a configuration comes to all routers: a few watch the platform, all others learn from their peers. */
package org.mangowall.membership.configuration;
