/** A complete small fleet in one process, for demos. */
package org.mangowall.standin.demo;
