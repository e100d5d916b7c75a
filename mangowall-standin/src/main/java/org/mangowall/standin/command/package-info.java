/** The program of the stand-ins and its command line. */
package org.mangowall.standin.command;
